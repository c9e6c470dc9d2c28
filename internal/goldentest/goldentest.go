// Package goldentest holds encoded forms to texts that were recorded from a version in service. Versions meet during a roll-out, so the
// recorded texts are never recorded anew to get a pass.
package goldentest

import (
	"encoding/json"
	"reflect"
	"testing"
)

// JSON checks that a value is written as the text, and that the text is read as the value.
func JSON(t testing.TB, value any, text string) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if string(raw) != text {
		t.Errorf("%T is written as\n%s, want\n%s", value, raw, text)
	}
	read := reflect.New(reflect.TypeOf(value))
	if err := json.Unmarshal([]byte(text), read.Interface()); err != nil {
		t.Fatal(err)
	}
	if got := read.Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("%s is read as\n%+v, want\n%+v", text, got, value)
	}
}
