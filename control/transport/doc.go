// Package transport carries messages between the daemons of one deployment:
// HTTP calls and datagrams whose bodies are Avro, with a schema derived from the
// Go type. Values on disk have the same encoding.
//
// An encoded message begins with the fingerprint of its schema, and one that is
// sent has the tag of the deployment before that, so a message of another form
// or of another deployment is rejected before it is decoded. Schemas hang on
// SchemaName and on the avro tags alone, never on Go names: the bytes outlive a
// rename.
package transport
