package transport

import (
	"bytes"
	"io"
	"reflect"
	"sync"

	"github.com/hamba/avro/v2"
)

// smallMessageLimit is the length in bytes up to which a message is decoded
// under the small bounds: no datagram is longer.
const smallMessageLimit = 64 << 10

// The bounds keep a damaged length from claiming much memory: a message can't
// hold more items than it has bytes.
var (
	smallReaders = newReaderPool(avro.Config{MaxByteSliceSize: smallMessageLimit, MaxSliceAllocSize: smallMessageLimit}.Freeze())
	largeReaders = newReaderPool(avro.Config{MaxByteSliceSize: 64 << 20, MaxSliceAllocSize: 1 << 20}.Freeze())
)

func newReaderPool(bounds avro.API) *sync.Pool {
	return &sync.Pool{New: func() any { return avro.NewReader(nil, 0, avro.WithReaderConfig(bounds)) }}
}

var writers = sync.Pool{New: func() any { return avro.NewWriter(io.Discard, 512) }}

// Marshal encodes a message: the fingerprint of its schema, then Avro. It fails
// only for a type that has no schema.
func Marshal[Message any](message Message) ([]byte, error) {
	return marshalWithPrefix(nil, message)
}

func marshalWithPrefix[Message any](prefix []byte, message Message) ([]byte, error) {
	known, err := schemaFor(reflect.TypeFor[Message]())
	if err != nil {
		return nil, err
	}
	writer := writers.Get().(*avro.Writer)
	defer writers.Put(writer)
	writer.Reset(io.Discard)
	writer.Error = nil
	_, _ = writer.Write(prefix)
	_, _ = writer.Write(known.fingerprint[:])
	writer.WriteVal(known.schema, message)
	if writer.Error != nil {
		return nil, writer.Error
	}
	return bytes.Clone(writer.Buffer()), nil
}

// Unmarshal decodes a message that Marshal encoded, here or in another daemon.
// Its error has a RejectReason: SchemaMismatch for another form of the type,
// Malformed for a body that is damaged or that goes on after the message.
func Unmarshal[Message any](body []byte) (message Message, err error) {
	known, err := schemaFor(reflect.TypeFor[Message]())
	if err != nil {
		return message, err
	}
	if len(body) < fingerprintLength {
		return message, rejectf(Malformed, "%d bytes", len(body))
	}
	if fingerprint := body[:fingerprintLength]; !bytes.Equal(fingerprint, known.fingerprint[:]) {
		return message, rejectf(SchemaMismatch, "%T has form %x here, not %x", message, known.fingerprint, fingerprint)
	}
	pool := largeReaders
	if len(body) <= smallMessageLimit {
		pool = smallReaders
	}
	// The library may panic over a damaged length; that must not end the daemon.
	defer func() {
		if caught := recover(); caught != nil {
			err = rejectf(Malformed, "%v", caught)
		}
	}()
	reader := pool.Get().(*avro.Reader).Reset(body[fingerprintLength:])
	reader.Error = nil
	reader.ReadVal(known.schema, &message)
	if reader.Error != nil {
		return message, rejectf(Malformed, "%v", reader.Error)
	}
	// The library has no other way to ask whether something follows.
	if reader.Peek(); reader.Error == nil {
		return message, rejectf(Malformed, "bytes follow the %T", message)
	}
	pool.Put(reader.Reset(nil))
	return message, nil
}
