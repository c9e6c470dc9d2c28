// Package goldentest compares encoded values with texts recorded from a version in service.
// Different versions exchange these encodings during a rollout, so a failing test must never be
// fixed by recording its text again.
package goldentest

import (
	"encoding/json"
	"reflect"
	"testing"
)

// JSON checks that value is encoded as text, and that text is decoded as value.
func JSON(t testing.TB, value any, text string) {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if string(raw) != text {
		t.Errorf("%T is encoded as\n%s, want\n%s", value, raw, text)
	}
	read := reflect.New(reflect.TypeOf(value))
	if err := json.Unmarshal([]byte(text), read.Interface()); err != nil {
		t.Fatal(err)
	}
	if got := read.Elem().Interface(); !reflect.DeepEqual(got, value) {
		t.Errorf("%s is decoded as\n%+v, want\n%+v", text, got, value)
	}
}
