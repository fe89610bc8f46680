package settings

// ParseEffective parses and checks a tree and returns its effective settings.
// Its error is of type Errors.
func ParseEffective(tree []byte) (*Effective, error) {
	parsed, err := Parse("settings", tree)
	if err != nil {
		return nil, err
	}
	return parsed.Effective()
}
