package config

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const entryFile = `name: entry-1
region: lagos
datacentre: ikeja
rack: ikeja-r1
listen: 127.0.0.1:7100
rpc_listen: 127.0.0.1:7101
admin_listen: 127.0.0.1:7102
control: ["127.0.0.1:7201", "127.0.0.1:7211"]
platform:
  table: http://127.0.0.1:7000
`

// write writes the text to a file and returns its path.
func write(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "process.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestFlagsOverrideTheFile(t *testing.T) {
	file := write(t, entryFile)
	got, err := LoadEntry([]string{"--config", file, "--listen", "127.0.0.1:0",
		"--control", "127.0.0.1:9", "--platform.hosts=http://127.0.0.1:1", "--limits.memory-mb=256", "--log-level", "debug"})
	if err != nil {
		t.Fatal(err)
	}
	want := &Entry{
		Process: Process{
			Name: "entry-1", Region: "lagos", DataCentre: "ikeja", Rack: "ikeja-r1",
			RPCListen: "127.0.0.1:7101", AdminListen: "127.0.0.1:7102",
			Control:  []string{"127.0.0.1:9"},
			Platform: Platform{Table: "http://127.0.0.1:7000", Hosts: "http://127.0.0.1:1"},
			Limits:   Limits{MemoryMB: 256},
			LogLevel: "debug",
		},
		Listen: "127.0.0.1:0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestExampleInTheDocumentationIsAccepted(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "```yaml\n"+entryFile+"```") {
		t.Error("docs/SETTINGS.md does not contain the process file of this test")
	}
	if _, err := LoadEntry([]string{"--config", write(t, entryFile)}); err != nil {
		t.Error(err)
	}
}

func TestEveryFaultOfAProcessFileIsRefusedAtOnce(t *testing.T) {
	broken := strings.NewReplacer("listen: 127.0.0.1:7100\n", "lissten: 127.0.0.1:7100\n", `"127.0.0.1:7211"`, "entry-2:1",
		"rack: ikeja-r1\n", "", "region: lagos", "region: [a]", "http://127.0.0.1:7000", "http://table:7000").Replace(entryFile)
	file := write(t, broken)
	_, err := LoadEntry([]string{"--config", file, "--admin-listen", "here", "--peer", "x", "--peer", "y", "--limits.memory-mb", "63"})
	want := []string{
		`command line: --admin-listen: bad address "here"; allowed`,
		`command line: --limits.memory-mb: 63 is out of range; allowed: 64 to 4194304`,
		`command line: --peer: bad address "x"; allowed`,
		`command line: --peer: bad address "y"; allowed`,
		file + `:1:1: listen: missing; give`,
		file + `:1:1: rack: missing; give`,
		file + `:2:9: region: must be text`,
		file + `:4:1: lissten: unknown key; allowed here: name, region`,
		file + `:7:29: control[1]: bad address "entry-2:1"; allowed`,
		file + `:9:10: platform.table: bad host "table" in URL; allowed`,
	}
	got := strings.Split(err.Error(), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %d errors, want %d:\n%v", len(got), len(want), err)
	}
	for i := range want {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("got  %s\nwant %s", got[i], want[i])
		}
	}
}

func TestExitCodesOfHelpVersionAndUsage(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, ExitDone, "--config /etc/egretpitch/control.yaml"},
		{[]string{"--version"}, ExitDone, "egretpitch-control "},
		{[]string{"--nonsense"}, ExitUsage, "command line: unknown flag `nonsense'"},
		{[]string{"stray"}, ExitUsage, "command line: unexpected argument stray"},
		{[]string{"--log-level", "loud"}, ExitUsage, "Allowed values are: debug, info, warn or error"},
		{[]string{"--config", "/nonexistent.yaml"}, ExitUsage, "config: read file"},
	} {
		_, err := LoadControl(c.args)
		var out, errOut bytes.Buffer
		code := Report(err, &out, &errOut)
		if text := out.String() + errOut.String(); code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%v: exit %d, want %d with %q:\n%s", c.args, code, c.code, c.want, text)
		}
	}
}
