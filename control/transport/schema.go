// Package transport carries messages between the system's own daemons: HTTP
// calls whose bodies are Avro, with a schema that is read off the Go type.
package transport

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"sync"
	"sync/atomic"

	"github.com/hamba/avro/v2"
)

// fingerprintLength is how many bytes of its schema's fingerprint go ahead of
// each message and of each value on a disk: two forms of one message are taken
// for each other once in four thousand million times.
const fingerprintLength = 4

// messageSchema is a message type's schema and the head that tells it.
type messageSchema struct {
	schema      avro.Schema
	fingerprint [fingerprintLength]byte
}

// schemas are the known ones; the map is swapped whole when one is added.
var (
	schemas   atomic.Pointer[map[reflect.Type]messageSchema]
	schemasMu sync.Mutex
)

// schemaFor gives the form of a message type. The schema is made of the type's
// SchemaName and of the fields' avro tags and types, in the fields' order.
func schemaFor(kind reflect.Type) (messageSchema, error) {
	if known := schemas.Load(); known != nil {
		if found, has := (*known)[kind]; has {
			return found, nil
		}
	}
	made, err := deriveSchema(kind)
	if err != nil {
		return messageSchema{}, err
	}
	schemasMu.Lock()
	defer schemasMu.Unlock()
	grown := map[reflect.Type]messageSchema{kind: made}
	if known := schemas.Load(); known != nil {
		maps.Copy(grown, *known)
	}
	schemas.Store(&grown)
	return made, nil
}

func deriveSchema(kind reflect.Type) (messageSchema, error) {
	shape, err := schemaDefinition(kind, map[reflect.Type]bool{})
	if err != nil {
		return messageSchema{}, err
	}
	text, err := json.Marshal(shape)
	if err != nil {
		return messageSchema{}, err
	}
	schema, err := avro.ParseWithCache(string(text), "", &avro.SchemaCache{})
	if err != nil {
		return messageSchema{}, err
	}
	made := messageSchema{schema: schema}
	whole := schema.Fingerprint()
	copy(made.fingerprint[:], whole[:])
	return made, nil
}

// Named is implemented by every struct that is stored or sent. The name is part
// of the schema, and so of the fingerprint ahead of every stored value and every
// message: it stays as it is when the Go type is renamed or moved, and so do the
// names in the avro tags of the fields.
type Named interface {
	SchemaName() string
}

func schemaName(kind reflect.Type) (string, error) {
	named, ok := reflect.Zero(kind).Interface().(Named)
	if !ok {
		return "", fmt.Errorf("courier: %s has no SchemaName", kind)
	}
	return named.SchemaName(), nil
}

var primitiveTypes = map[reflect.Kind]string{
	reflect.String: "string", reflect.Int64: "long", reflect.Int: "long",
	reflect.Bool: "boolean", reflect.Float64: "double",
}

func schemaDefinition(kind reflect.Type, named map[reflect.Type]bool) (any, error) {
	if name, simple := primitiveTypes[kind.Kind()]; simple {
		return name, nil
	}
	if kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Uint8 {
		return "bytes", nil
	}
	if kind.Kind() == reflect.Slice {
		items, err := schemaDefinition(kind.Elem(), named)
		return map[string]any{"type": "array", "items": items}, err
	}
	if kind.Kind() != reflect.Struct {
		return nil, fmt.Errorf("courier: %s has no Avro shape", kind)
	}
	name, err := schemaName(kind)
	if err != nil {
		return nil, err
	}
	if named[kind] {
		return name, nil
	}
	named[kind] = true
	fields := []any{}
	for index := range kind.NumField() {
		field := kind.Field(index)
		tag, tagged := field.Tag.Lookup("avro")
		if !tagged {
			return nil, fmt.Errorf("courier: %s.%s has no avro tag", kind, field.Name)
		}
		shape, err := schemaDefinition(field.Type, named)
		if err != nil {
			return nil, err
		}
		fields = append(fields, map[string]any{"name": tag, "type": shape})
	}
	return map[string]any{"type": "record", "name": name, "fields": fields}, nil
}
