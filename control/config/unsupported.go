package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// UnsupportedFields returns the paths of the fields of a document that no type of
// this package reads; they have no effect on routers. The paths are sorted and without
// duplicates. An element of a list appears as "[]", as in "routes[].name". For a text
// that is not a JSON object the result is empty.
func UnsupportedFields(document []byte) []string {
	var value map[string]any
	if json.Unmarshal(document, &value) != nil {
		return nil
	}
	found := map[string]bool{}
	collectUnsupported(found, "", value, reflect.TypeFor[Config]())
	return slices.Sorted(maps.Keys(found))
}

// collectUnsupported adds to found the paths of those fields of value, at any depth,
// that goType does not read. The path is that of value itself.
func collectUnsupported(found map[string]bool, path string, value any, goType reflect.Type) {
	for goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	switch value := value.(type) {
	case []any:
		if goType.Kind() != reflect.Slice {
			return
		}
		for _, element := range value {
			collectUnsupported(found, path+"[]", element, goType.Elem())
		}
	case map[string]any:
		if goType.Kind() != reflect.Struct {
			return
		}
		fields := jsonFields(goType)
		for name, member := range value {
			memberPath := strings.TrimPrefix(path+"."+name, ".")
			field, ok := fields[name]
			if !ok {
				found[memberPath] = true
				continue
			}
			collectUnsupported(found, memberPath, member, field)
		}
	}
}

// jsonFields returns the types of a struct's fields by their JSON names.
func jsonFields(goType reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for index := range goType.NumField() {
		field := goType.Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.IsExported() && name != "" {
			fields[name] = field.Type
		}
	}
	return fields
}
