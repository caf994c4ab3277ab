package store

import (
	"bytes"
	"strconv"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// elementsKeyword is the keyword of schema.json for the schema of a list's elements. It
// is used in place of "items", which reports every invalid element: the errors of a list
// of many invalid elements take a hundred times the bytes of the list.
const elementsKeyword = "elements"

// elementsURL identifies the vocabulary that has elementsKeyword.
const elementsURL = "onyxwell:elements"

// elementsVocabulary returns the vocabulary of elementsKeyword.
func elementsVocabulary() (*jsonschema.Vocabulary, error) {
	definition, err := jsonschema.UnmarshalJSON(bytes.NewReader([]byte(`{"properties":{"` + elementsKeyword + `":{"type":"object"}}}`)))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(elementsURL, definition); err != nil {
		return nil, err
	}
	schema, err := compiler.Compile(elementsURL)
	if err != nil {
		return nil, err
	}
	return &jsonschema.Vocabulary{
		URL: elementsURL, Schema: schema, Subschemas: []jsonschema.SchemaPath{{jsonschema.Prop(elementsKeyword)}}, Compile: compileElements,
	}, nil
}

// compileElements compiles elementsKeyword in a schema that has it.
func compileElements(ctx *jsonschema.CompilerContext, schema map[string]any) (jsonschema.SchemaExt, error) {
	if _, ok := schema[elementsKeyword]; !ok {
		return nil, nil
	}
	return elements{schema: ctx.Enqueue([]string{elementsKeyword})}, nil
}

// elements validates the elements of a list up to the first invalid one.
type elements struct{ schema *jsonschema.Schema }

// Validate implements jsonschema.SchemaExt.
func (e elements) Validate(ctx *jsonschema.ValidatorContext, value any) {
	list, _ := value.([]any)
	for index, element := range list {
		if err := ctx.Validate(e.schema, element, []string{strconv.Itoa(index)}); err != nil {
			ctx.AddErr(err)
			return
		}
	}
}
