package hash

import "testing"

// TestValuesStay guards against a change of the hash functions, which would move objects to other
// caches. The values were recorded from the functions before they moved from their callers'
// packages into this one, and must never change.
func TestValuesStay(t *testing.T) {
	for _, c := range []struct {
		text string
		want uint64
	}{
		{"", 0xc3817c016ba4ff30}, {"a", 0x5f29c2aadd9b8527}, {"e0", 0x39a03e255a057248}, {"parent-1", 0xcd774321ee834f2d},
		{"7f3a9c21e0b4d655", 0x33a221ae4f6845e6}, {"größe", 0xa9b541425f6e8284},
	} {
		if got := String(c.text); got != c.want {
			t.Errorf("String(%q) = %#x, want %#x", c.text, got, c.want)
		}
	}
	for _, c := range []struct {
		x, mix, finalize uint64
		unit             float64
	}{
		{0, 0xe220a8397b1dcdaf, 0, 0.8833108082136426},
		{1, 0x910a2dec89025cc1, 0x5692161d100b05e5, 0.5665615751722809},
		{42, 0xbdd732262feb6e95, 0xa759ea27d4727622, 0.7415648787718233},
		{1 << 63, 0x481ec0a212a9f3db, 0x25c26ea579cea98a, 0.2817192454992108},
		{1<<64 - 1, 0xe4d971771b652c20, 0xb4d055fcf2cbbd7b, 0.8939429202831845},
	} {
		if got := Mix(c.x); got != c.mix {
			t.Errorf("Mix(%#x) = %#x, want %#x", c.x, got, c.mix)
		}
		if got := Finalize(c.x); got != c.finalize {
			t.Errorf("Finalize(%#x) = %#x, want %#x", c.x, got, c.finalize)
		}
		if got := Unit(c.x); got != c.unit {
			t.Errorf("Unit(%#x) = %v, want %v", c.x, got, c.unit)
		}
	}
	for _, c := range []struct {
		seed uint64
		text string
		want uint64
	}{
		{0, "n1", 0xf8e46110455c6e53}, {0, "director-17", 0xf0bf78383f20b3fe}, {1, "n1", 0xdb2efb8f3e615437},
		{42, "director-17", 0xecaf6687d89f0de5}, {1 << 63, "n1", 0x68576ac8dcf703a0}, {1<<64 - 1, "n1", 0x6cd4179156773e23},
	} {
		if got := Seeded(c.seed, c.text); got != c.want {
			t.Errorf("Seeded(%d, %q) = %#x, want %#x", c.seed, c.text, got, c.want)
		}
	}
}
