package transport

import (
	"bytes"
	"io"
	"reflect"
	"sync"

	"github.com/hamba/avro/v2"
)

// smallLimit is the length up to which a message is read under the small
// bounds: no datagram is longer.
const smallLimit = 64 << 10

// The bounds keep a torn length from claiming much memory: a message can't hold
// more items than it has bytes.
var (
	small = readers(avro.Config{MaxByteSliceSize: smallLimit, MaxSliceAllocSize: smallLimit}.Freeze())
	large = readers(avro.Config{MaxByteSliceSize: 64 << 20, MaxSliceAllocSize: 1 << 20}.Freeze())
)

func readers(bounds avro.API) *sync.Pool {
	return &sync.Pool{New: func() any { return avro.NewReader(nil, 0, avro.WithReaderConfig(bounds)) }}
}

var writers = sync.Pool{New: func() any { return avro.NewWriter(io.Discard, 512) }}

// Pack turns a message into bytes: the fingerprint of its schema, then Avro.
func Pack[Message any](message Message) ([]byte, error) {
	return packAfter(nil, message)
}

func packAfter[Message any](head []byte, message Message) ([]byte, error) {
	known, err := formOf(reflect.TypeFor[Message]())
	if err != nil {
		return nil, err
	}
	writer := writers.Get().(*avro.Writer)
	defer writers.Put(writer)
	writer.Reset(io.Discard)
	writer.Error = nil
	_, _ = writer.Write(head)
	_, _ = writer.Write(known.fingerprint[:])
	writer.WriteVal(known.schema, message)
	if writer.Error != nil {
		return nil, writer.Error
	}
	return bytes.Clone(writer.Buffer()), nil
}

// Unpack reads a message that Pack made, here or in another daemon of the same
// build. One that is torn, that has anything after its end or that was made
// from another form of the type is refused with its Flaw.
func Unpack[Message any](body []byte) (message Message, err error) {
	known, err := formOf(reflect.TypeFor[Message]())
	if err != nil {
		return message, err
	}
	if len(body) < fingerprintLength {
		return message, flawOf(Torn, "%d bytes", len(body))
	}
	if head := body[:fingerprintLength]; !bytes.Equal(head, known.fingerprint[:]) {
		return message, flawOf(Version, "%T has form %x here, not %x", message, known.fingerprint, head)
	}
	pool := large
	if len(body) <= smallLimit {
		pool = small
	}
	// What a torn length makes the library do must not end the daemon.
	defer func() {
		if caught := recover(); caught != nil {
			err = flawOf(Torn, "%v", caught)
		}
	}()
	reader := pool.Get().(*avro.Reader).Reset(body[fingerprintLength:])
	reader.Error = nil
	reader.ReadVal(known.schema, &message)
	if reader.Error != nil {
		return message, flawOf(Torn, "%v", reader.Error)
	}
	// The library has no other way to ask whether something follows.
	if reader.Peek(); reader.Error == nil {
		return message, flawOf(Torn, "bytes follow the %T", message)
	}
	pool.Put(reader.Reset(nil))
	return message, nil
}
