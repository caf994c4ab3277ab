package store

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"onyxwell/base/compress"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/jsonsize"
	"onyxwell/control/config"
	"onyxwell/control/transport"
)

// Change is an operator's change to the configuration: a whole document or a patch. It
// is sent between controllers.
type Change struct {
	// Full is set if Body is a whole document instead of a patch of the current one.
	Full bool `avro:"Whole"`
	// BaseVersion is the version that must be the current one; it is 0 for the first
	// configuration.
	BaseVersion ids.Version `avro:"Match"`
	// Body is JSON text, compressed if Compressed is set.
	Body       []byte `avro:"Body"`
	Compressed bool   `avro:"Packed"`
}

// SchemaName returns the Avro record name in storage and on the wire; it must never
// change.
func (Change) SchemaName() string { return "Change_25" }

// Compress returns the change with its body compressed for sending.
func (c Change) Compress() Change {
	if !c.Compressed {
		c.Body, c.Compressed = compress.Encode(c.Body)
	}
	return c
}

// Version returns the version that the change results in, which its body states, or 0
// if the body cannot be parsed. The body must not be compressed.
func (c Change) Version() ids.Version {
	var p patch
	_ = json.Unmarshal(c.Body, &p)
	return p.Version
}

// UnsupportedFields returns the paths of the fields in the change that have no effect
// on routers; see config.UnsupportedFields. The body must not be compressed.
func (c Change) UnsupportedFields() []string {
	if c.Full {
		return config.UnsupportedFields(c.Body)
	}
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(c.Body, &fields)
	unsupported := config.UnsupportedFields(fields["changes"])
	// The object under "remove" has lists under the same keys as a document, so it can
	// be checked like one.
	for _, name := range config.UnsupportedFields(fields["remove"]) {
		unsupported = append(unsupported, "remove."+name)
	}
	for name := range fields {
		if !slices.Contains(patchFields, name) {
			unsupported = append(unsupported, name)
		}
	}
	slices.Sort(unsupported)
	return unsupported
}

// digest returns a hash that distinguishes the change from others with the same base
// version. The body must not be compressed.
func (c Change) digest() []byte {
	hash := sha256.New()
	_, _ = fmt.Fprintln(hash, c.Full, c.BaseVersion)
	hash.Write(c.Body)
	return hash.Sum(nil)[:digestLength]
}

// Apply is an update function that applies the change to the register's value. If the
// change was applied before, it returns nil, which leaves the value unchanged, whatever
// the current version is. A *VersionConflictError rejects the change, and an
// *ArchivedError says which chunk shows whether it was applied. All other errors are of
// kind InvalidConfig, BadRequest, OutcomeExpired or Internal.
func (c Change) Apply(current []byte) ([]byte, error) { return c.apply(current, ApplyOptions{}) }

// ApplyOptions are the options of Change.ApplyWith.
type ApplyOptions struct {
	// SealedCount is the number of changes, the first ones of the whole history, that are in
	// chunks that a majority has stored. Only their entries are removed from the record,
	// unless the history in the record exceeds its limit, see maxRecent.
	SealedCount int64
	// MaxDecodedBytes is the most memory that a change, or the document that results from
	// it, may take once it is decoded; 0 is no limit. See CheckDecodedSize.
	MaxDecodedBytes int64
}

// ApplyWith returns an update function like Apply that also removes old history entries
// from the record, and rejects a change that takes too much memory with an error of kind
// BodyTooLarge.
func (c Change) ApplyWith(options ApplyOptions) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) { return c.apply(current, options) }
}

// CheckDecodedSize returns an error of kind BodyTooLarge if a document or a patch takes
// over limit bytes once it is decoded; a limit of 0 is none.
func CheckDecodedSize(body []byte, limit int64) error {
	if size := jsonsize.Decoded(body); limit > 0 && size > limit {
		return errkind.Errorf(errkind.BodyTooLarge, "body: takes %d bytes of memory, at most %d are allowed", size, limit)
	}
	return nil
}

func (c Change) apply(current []byte, options ApplyOptions) ([]byte, error) {
	record, err := Decode(current)
	if err != nil {
		return nil, transport.NewStoredValueError(config.Key, err)
	}
	if c.Body, err = compress.Decode(c.Body, c.Compressed); err != nil {
		return nil, errkind.Errorf(errkind.BadRequest, "decompressing the change: %v", err)
	}
	digest := c.digest()
	if c.BaseVersion != record.Version {
		return nil, record.History.lookup(c.BaseVersion, digest, record.Version)
	}
	document, version, err := c.nextDocument(record, options.MaxDecodedBytes)
	if err != nil {
		return nil, err
	}
	record.Version = version
	record.Document, record.Compressed = compress.Encode(document)
	record.History.append(version-c.BaseVersion, digest)
	record.History.truncate(options.SealedCount)
	return transport.Marshal(record)
}

// nextDocument returns the validated document that results from the change, and its
// version.
func (c Change) nextDocument(record Record, maxDecodedBytes int64) ([]byte, ids.Version, error) {
	if err := CheckDecodedSize(c.Body, maxDecodedBytes); err != nil {
		return nil, 0, err
	}
	document := c.Body
	if !c.Full {
		var err error
		if document, err = ApplyPatch(record.Document, c.Body); err != nil {
			return nil, 0, err
		}
		if err := CheckDecodedSize(document, maxDecodedBytes); err != nil {
			return nil, 0, err
		}
	}
	cfg, err := Validate(document)
	if err != nil {
		return nil, 0, err
	}
	if cfg.Version <= record.Version {
		return nil, 0, errkind.Errorf(errkind.InvalidConfig, "config_version: %d must be above the current version %d", cfg.Version, record.Version)
	}
	return document, cfg.Version, nil
}
