package scenario

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// namingFields are the fields by which a path can select an element of an array.
var namingFields = []string{"kind", "id", "name"}

// checkJSON compares the value at path in a JSON document with another value.
func checkJSON(document []byte, path, op, value string) error {
	var root any
	if err := json.Unmarshal(document, &root); err != nil {
		return fmt.Errorf("%w: %.200s", err, document)
	}
	got, err := lookup(root, path)
	if err != nil {
		return err
	}
	ok, err := compare(got, op, value)
	if err != nil {
		return err
	}
	if !ok {
		return fmt.Errorf("%s is %v, expected %s %s", path, got, op, value)
	}
	return nil
}

// lookup returns the value at path. A missing field of an object is nil and no error,
// since counts of 0 may be omitted from a document.
func lookup(v any, path string) (any, error) {
	for name := range strings.SplitSeq(path, ".") {
		switch node := v.(type) {
		case map[string]any:
			v = node[name]
		case []any:
			element, err := lookupElement(node, name)
			if err != nil {
				return nil, err
			}
			v = element
		default:
			return nil, fmt.Errorf("%s: %q is looked up in a value that is neither object nor array: %v", path, name, v)
		}
	}
	return v, nil
}

func lookupElement(list []any, name string) (any, error) {
	if name == "length" {
		return float64(len(list)), nil
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(list) {
		return list[i], nil
	}
	for _, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			continue
		}
		for _, field := range namingFields {
			if object[field] == name {
				return element, nil
			}
		}
	}
	return nil, fmt.Errorf("array has no element %q", name)
}

// compare applies op to got and value. Strings and booleans have == and != only. A nil
// counts as 0, the empty string or false.
func compare(got any, op, value string) (bool, error) {
	switch op {
	case "==", "!=", "<", "<=", ">", ">=":
	default:
		return false, scriptErrorf("unknown operator %q", op)
	}
	want, err := strconv.ParseFloat(value, 64)
	number, isNumber := got.(float64)
	if got == nil || isNumber {
		if err == nil {
			return compareNumbers(number, op, want), nil
		}
	}
	text := ""
	if got != nil {
		text = fmt.Sprint(got)
	}
	if got == nil && value == "false" {
		text = "false"
	}
	switch op {
	case "==":
		return text == value, nil
	case "!=":
		return text != value, nil
	}
	return false, fmt.Errorf("%v %s %s: the operator compares numbers only", got, op, value)
}

func compareNumbers(a float64, op string, b float64) bool {
	switch op {
	case "==":
		return a == b
	case "!=":
		return a != b
	case "<":
		return a < b
	case "<=":
		return a <= b
	case ">":
		return a > b
	}
	return a >= b
}
