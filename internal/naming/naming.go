// Package naming validates the names of processes, hosts and the objects of the
// settings.
package naming

// MaxLength is the largest length of a name, in bytes.
const MaxLength = 63

// Rule describes the names that Valid accepts, for use in error messages.
const Rule = "1 to 63 lower-case letters, digits and inner hyphens"

// Valid reports whether a name follows Rule. A valid name needs no escaping in
// URL paths, table keys and host names.
func Valid(name string) bool {
	n := len(name)
	if n == 0 || n > MaxLength || name[0] == '-' || name[n-1] == '-' {
		return false
	}
	for i := range n {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
