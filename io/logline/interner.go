package logline

// maxNames bounds the memory for names that repeat, whatever the input holds.
const maxNames = 4096

// interner shares the memory of equal strings.
type interner map[string]string

func (n interner) intern(text []byte) string {
	if known, ok := n[string(text)]; ok {
		return known
	}
	name := string(text)
	if len(n) < maxNames {
		n[name] = name
	}
	return name
}
