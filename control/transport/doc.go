// Package transport carries messages between the daemons of one deployment: HTTP
// calls and datagrams with bodies in Avro, whose schema is derived from the Go
// type. Values on disk use the same encoding.
//
// An encoded message starts with the fingerprint of its schema. In requests and
// datagrams the tag of the deployment precedes it. A message with another schema
// or from another deployment is therefore rejected before it is decoded. The
// names in a schema come from SchemaName and the avro tags, never from Go
// identifiers, so renaming a Go type or field doesn't change the encoded bytes.
package transport
