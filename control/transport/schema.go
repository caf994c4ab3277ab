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

// fingerprintLength is the number of bytes of the schema fingerprint that precede
// each message and each value on disk. Two schemas of one message collide with a
// probability of 2^-32.
const fingerprintLength = 4

// Named must be implemented by every struct that is stored or sent. The name is
// part of the schema and therefore of the fingerprint that precedes every stored
// value and every message. It must not change if the Go type is renamed or moved,
// and neither must the names in the avro tags of the fields.
type Named interface {
	SchemaName() string
}

// messageSchema is the Avro schema of a message type and its truncated fingerprint.
type messageSchema struct {
	schema      avro.Schema
	fingerprint [fingerprintLength]byte
}

// schemas caches the schemas by type. The map is never modified, only replaced as a
// whole while schemasMu is held, so that readers need no lock.
var (
	schemas   atomic.Pointer[map[reflect.Type]messageSchema]
	schemasMu sync.Mutex
)

// schemaFor returns the schema of a message type. It consists of the type's
// SchemaName and the avro tags and types of the fields, in field order.
func schemaFor(typ reflect.Type) (messageSchema, error) {
	if cached := schemas.Load(); cached != nil {
		if schema, ok := (*cached)[typ]; ok {
			return schema, nil
		}
	}
	schema, err := deriveSchema(typ)
	if err != nil {
		return messageSchema{}, err
	}
	schemasMu.Lock()
	defer schemasMu.Unlock()
	extended := map[reflect.Type]messageSchema{typ: schema}
	if cached := schemas.Load(); cached != nil {
		maps.Copy(extended, *cached)
	}
	schemas.Store(&extended)
	return schema, nil
}

func deriveSchema(typ reflect.Type) (messageSchema, error) {
	definition, err := schemaDefinition(typ, map[reflect.Type]bool{})
	if err != nil {
		return messageSchema{}, err
	}
	text, err := json.Marshal(definition)
	if err != nil {
		return messageSchema{}, err
	}
	parsed, err := avro.ParseWithCache(string(text), "", &avro.SchemaCache{})
	if err != nil {
		return messageSchema{}, err
	}
	schema := messageSchema{schema: parsed}
	fingerprint := parsed.Fingerprint()
	copy(schema.fingerprint[:], fingerprint[:])
	return schema, nil
}

var primitiveTypes = map[reflect.Kind]string{
	reflect.String: "string", reflect.Int64: "long", reflect.Int: "long",
	reflect.Bool: "boolean", reflect.Float64: "double",
}

// schemaDefinition returns the Avro schema of a type in the form that is marshaled
// to JSON. A record is defined at its first occurrence and referenced by name after
// that; defined has the records that are already defined.
func schemaDefinition(typ reflect.Type, defined map[reflect.Type]bool) (any, error) {
	if name, ok := primitiveTypes[typ.Kind()]; ok {
		return name, nil
	}
	switch typ.Kind() {
	case reflect.Slice:
		if typ.Elem().Kind() == reflect.Uint8 {
			return "bytes", nil
		}
		items, err := schemaDefinition(typ.Elem(), defined)
		return map[string]any{"type": "array", "items": items}, err
	case reflect.Struct:
		return recordDefinition(typ, defined)
	}
	return nil, fmt.Errorf("transport: %s has no Avro schema", typ)
}

func recordDefinition(typ reflect.Type, defined map[reflect.Type]bool) (any, error) {
	named, ok := reflect.Zero(typ).Interface().(Named)
	if !ok {
		return nil, fmt.Errorf("transport: %s has no SchemaName", typ)
	}
	name := named.SchemaName()
	if defined[typ] {
		return name, nil
	}
	defined[typ] = true
	fields := []any{}
	for index := range typ.NumField() {
		field := typ.Field(index)
		tag, ok := field.Tag.Lookup("avro")
		if !ok {
			return nil, fmt.Errorf("transport: %s.%s has no avro tag", typ, field.Name)
		}
		definition, err := schemaDefinition(field.Type, defined)
		if err != nil {
			return nil, err
		}
		fields = append(fields, map[string]any{"name": tag, "type": definition})
	}
	return map[string]any{"type": "record", "name": name, "fields": fields}, nil
}
