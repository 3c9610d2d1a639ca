package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestDocumentationListsAllSettings checks that docs/operators/settings.md lists
// every setting with its default and that its example is valid.
func TestDocumentationListsAllSettings(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	rows := 0
	var walk func(prefix string, v reflect.Value)
	walk = func(prefix string, v reflect.Value) {
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			if v.Field(i).Kind() == reflect.Struct {
				walk(prefix+name+".", v.Field(i))
				continue
			}
			rows++
			row := fmt.Sprintf("| `%s%s` | ", prefix, name)
			if value := v.Field(i); !value.IsZero() {
				row += fmt.Sprintf("`%v` |", value.Interface())
			}
			if !strings.Contains(page, row) {
				t.Errorf("the page has no row %q", row)
			}
		}
	}
	walk("", reflect.ValueOf(*Default()))
	if got := strings.Count(page, "\n| `"); got != rows {
		t.Errorf("the page has %d rows, but there are %d settings", got, rows)
	}
	_, example, _ := strings.Cut(page, "```json\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := Decode("example", []byte(example)); err != nil {
		t.Errorf("the example is invalid: %v", err)
	}
}
