package workload

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// maxUnpackedBytes bounds a packed list before compression: ten numbers of up to
// five bytes for each task of the largest job.
const maxUnpackedBytes = 1 << 20

// packTasks encodes records of tasks of width numbers each, in order: as the
// differences between neighbours, which are small, compressed.
func packTasks(records [][]int, width int) ([]byte, error) {
	records = slices.Clone(records)
	slices.SortFunc(records, slices.Compare)
	previous := make([]int, width)
	var numbers []byte
	for _, r := range records {
		for i, n := range r {
			numbers = binary.AppendVarint(numbers, int64(n)-int64(previous[i]))
		}
		previous = r
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "pack tasks")
	}
	if _, err := w.Write(numbers); err != nil {
		return nil, errors.Wrap(err, "pack tasks")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack tasks")
	}
	return out.Bytes(), nil
}

// unpackTasks decodes records that packTasks returned.
func unpackTasks(packed []byte, width int) ([][]int, error) {
	numbers, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack tasks")
	}
	if len(numbers) > maxUnpackedBytes {
		return nil, errors.Errorf("unpack tasks: more than %d bytes", maxUnpackedBytes)
	}
	var records [][]int
	previous := make([]int, width)
	for len(numbers) > 0 {
		r := make([]int, width)
		for i := range r {
			difference, n := binary.Varint(numbers)
			if n <= 0 {
				return nil, errors.New("unpack tasks: a record is incomplete")
			}
			numbers = numbers[n:]
			r[i] = previous[i] + int(difference)
		}
		records = append(records, r)
		previous = r
	}
	return records, nil
}
