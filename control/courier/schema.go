// Package courier carries messages between the system's own daemons: HTTP
// calls whose bodies are Avro, with a schema that is read off the Go type.
package courier

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sync"

	"github.com/hamba/avro/v2"
)

var schemas sync.Map

// schemaOf gives the Avro schema of a message type. The schema is derived from
// the struct's fields in their order, so both ends must be of one build.
func schemaOf(kind reflect.Type) (avro.Schema, error) {
	if known, found := schemas.Load(kind); found {
		return known.(avro.Schema), nil
	}
	shape, fault := shapeOf(kind, map[reflect.Type]bool{})
	if fault != nil {
		return nil, fault
	}
	text, fault := json.Marshal(shape)
	if fault != nil {
		return nil, fault
	}
	schema, fault := avro.ParseWithCache(string(text), "", &avro.SchemaCache{})
	if fault != nil {
		return nil, fault
	}
	schemas.Store(kind, schema)
	return schema, nil
}

var plain = map[reflect.Kind]string{
	reflect.String: "string", reflect.Int64: "long", reflect.Int: "long",
	reflect.Bool: "boolean", reflect.Float64: "double",
}

func shapeOf(kind reflect.Type, named map[reflect.Type]bool) (any, error) {
	if name, simple := plain[kind.Kind()]; simple {
		return name, nil
	}
	if kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Uint8 {
		return "bytes", nil
	}
	if kind.Kind() == reflect.Slice {
		items, fault := shapeOf(kind.Elem(), named)
		return map[string]any{"type": "array", "items": items}, fault
	}
	if kind.Kind() != reflect.Struct {
		return nil, fmt.Errorf("courier: %s has no Avro shape", kind)
	}
	name := fmt.Sprintf("%s_%d", kind.Name(), len(kind.PkgPath()))
	if named[kind] {
		return name, nil
	}
	named[kind] = true
	fields := []any{}
	for index := range kind.NumField() {
		field := kind.Field(index)
		shape, fault := shapeOf(field.Type, named)
		if fault != nil {
			return nil, fault
		}
		fields = append(fields, map[string]any{"name": field.Name, "type": shape})
	}
	return map[string]any{"type": "record", "name": name, "fields": fields}, nil
}

// Pack turns a message into Avro bytes.
//
// Example:
//
//	body, fault := courier.Pack(Digest{Serial: 7})
func Pack[Message any](message Message) ([]byte, error) {
	schema, fault := schemaOf(reflect.TypeFor[Message]())
	if fault != nil {
		return nil, fault
	}
	return avro.Marshal(schema, message)
}

// Unpack reads a message from Avro bytes.
//
// Example:
//
//	digest, fault := courier.Unpack[Digest](body)
func Unpack[Message any](body []byte) (Message, error) {
	var message Message
	schema, fault := schemaOf(reflect.TypeFor[Message]())
	if fault != nil {
		return message, fault
	}
	return message, avro.Unmarshal(schema, body, &message)
}
