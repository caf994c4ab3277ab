package transport

import (
	"bytes"
	"io"
	"reflect"
	"sync"

	"github.com/hamba/avro/v2"
)

// smallMessageLimit is the length in bytes up to which a message is decoded with
// the lower allocation limits of smallReaders. No datagram is longer.
const smallMessageLimit = 64 << 10

// The allocation limits keep a corrupt length field from causing a large
// allocation: a message can't contain more items than it has bytes.
var (
	smallReaders = newReaderPool(avro.Config{MaxByteSliceSize: smallMessageLimit, MaxSliceAllocSize: smallMessageLimit}.Freeze())
	largeReaders = newReaderPool(avro.Config{MaxByteSliceSize: 64 << 20, MaxSliceAllocSize: 1 << 20}.Freeze())
)

func newReaderPool(bounds avro.API) *sync.Pool {
	return &sync.Pool{New: func() any { return avro.NewReader(nil, 0, avro.WithReaderConfig(bounds)) }}
}

var writers = sync.Pool{New: func() any { return avro.NewWriter(io.Discard, 512) }}

// Marshal encodes a message as the fingerprint of its schema followed by its Avro
// encoding. It fails only for a type that has no schema.
func Marshal[Message any](message Message) ([]byte, error) {
	return marshalWithPrefix(nil, message)
}

func marshalWithPrefix[Message any](prefix []byte, message Message) ([]byte, error) {
	typeSchema, err := schemaFor(reflect.TypeFor[Message]())
	if err != nil {
		return nil, err
	}
	writer := writers.Get().(*avro.Writer)
	defer writers.Put(writer)
	writer.Reset(io.Discard)
	writer.Error = nil
	_, _ = writer.Write(prefix)
	_, _ = writer.Write(typeSchema.fingerprint[:])
	writer.WriteVal(typeSchema.schema, message)
	if writer.Error != nil {
		return nil, writer.Error
	}
	return bytes.Clone(writer.Buffer()), nil
}

// Unmarshal decodes a message that was encoded by Marshal, in this daemon or in
// another one. Its error has a RejectReason: SchemaMismatch if the message was
// encoded with another schema, Malformed if the body is corrupt or has trailing
// bytes.
func Unmarshal[Message any](body []byte) (message Message, err error) {
	typeSchema, err := schemaFor(reflect.TypeFor[Message]())
	if err != nil {
		return message, err
	}
	if len(body) < fingerprintLength {
		return message, rejectf(Malformed, "body of %d bytes is shorter than a schema fingerprint", len(body))
	}
	if fingerprint := body[:fingerprintLength]; !bytes.Equal(fingerprint, typeSchema.fingerprint[:]) {
		return message, rejectf(SchemaMismatch, "%T has form %x here, not %x", message, typeSchema.fingerprint, fingerprint)
	}
	pool := largeReaders
	if len(body) <= smallMessageLimit {
		pool = smallReaders
	}
	// The Avro library may panic on a corrupt length field, which must not crash the
	// daemon.
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = rejectf(Malformed, "%v", panicValue)
		}
	}()
	reader := pool.Get().(*avro.Reader).Reset(body[fingerprintLength:])
	reader.Error = nil
	reader.ReadVal(typeSchema.schema, &message)
	if reader.Error != nil {
		return message, rejectf(Malformed, "%v", reader.Error)
	}
	// The Avro library has no other way to check for trailing bytes.
	if reader.Peek(); reader.Error == nil {
		return message, rejectf(Malformed, "trailing bytes after the %T", message)
	}
	pool.Put(reader.Reset(nil))
	return message, nil
}
