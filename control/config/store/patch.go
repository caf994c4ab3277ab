package store

import (
	"encoding/json"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// patch is the body of a change that is not a whole document.
type patch struct {
	Version ids.Version `json:"config_version"`
	// Changes maps keys of the document to new values. For a list, the value holds
	// the items to replace or add, which are identified by their names.
	Changes map[string]json.RawMessage `json:"changes"`
	// Remove maps keys of lists in the document to the names of the items to remove.
	Remove map[string][]string `json:"remove"`
}

// patchFields are the JSON names of the fields of patch.
var patchFields = []string{"config_version", "changes", "remove"}

// namedItem decodes the name of an item of a list in the document.
type namedItem struct {
	Name string `json:"name"`
}

// ApplyPatch applies a patch to a document and returns the resulting document. Values
// that the patch does not change are copied without being decoded, so numbers keep their
// notation; but white space is removed, the document's keys are sorted, and the characters
// <, > and & in strings are escaped. The result is not validated.
func ApplyPatch(document []byte, body []byte) ([]byte, error) {
	var p patch
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "not a change: %v", err)
	}
	fields := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &fields); err != nil {
			return nil, errkind.Errorf(errkind.Internal, "decoding the stored document: %v", err)
		}
	}
	for key, names := range p.Remove {
		if err := editList(fields, key, nil, names); err != nil {
			return nil, err
		}
	}
	for key, value := range p.Changes {
		var items []json.RawMessage
		if json.Unmarshal(value, &items) != nil {
			fields[key] = value
			continue
		}
		if err := editList(fields, key, items, nil); err != nil {
			return nil, err
		}
	}
	version, _ := json.Marshal(p.Version)
	fields["config_version"] = version
	return json.Marshal(fields)
}

// editList removes the items with the names in remove from the list under key, and
// replaces or appends the given items by name.
func editList(fields map[string]json.RawMessage, key string, items []json.RawMessage, remove []string) error {
	var current []json.RawMessage
	if value := fields[key]; len(value) > 0 {
		if err := json.Unmarshal(value, &current); err != nil {
			return errkind.Errorf(errkind.InvalidConfig, "%s: must be a list", key)
		}
	}
	replacements, names, err := indexItems(key, items)
	if err != nil {
		return err
	}
	removed := map[string]bool{}
	for _, name := range remove {
		removed[name] = true
	}
	edited := []json.RawMessage{}
	for _, item := range current {
		name, _ := itemName(item)
		if removed[name] {
			continue
		}
		if replacement, ok := replacements[name]; ok {
			item = replacement
			delete(replacements, name)
		}
		edited = append(edited, item)
	}
	for _, name := range names {
		if item, ok := replacements[name]; ok {
			edited = append(edited, item)
		}
	}
	fields[key], err = json.Marshal(edited)
	return err
}

// indexItems returns the items of a list in a patch by name, and their names in order.
func indexItems(key string, items []json.RawMessage) (byName map[string]json.RawMessage, names []string, err error) {
	byName = map[string]json.RawMessage{}
	for index, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, nil, errkind.Errorf(errkind.InvalidConfig, "changes.%s[%d].name: missing", key, index)
		}
		if _, ok := byName[name]; ok {
			return nil, nil, errkind.Errorf(errkind.InvalidConfig, "changes.%s[%d].name: duplicate name %q", key, index, name)
		}
		byName[name] = item
		names = append(names, name)
	}
	return byName, names, nil
}

func itemName(item json.RawMessage) (string, error) {
	var named namedItem
	if err := json.Unmarshal(item, &named); err != nil {
		return "", err
	}
	if named.Name == "" {
		return "", errkind.Errorf(errkind.InvalidConfig, "name: missing")
	}
	return named.Name, nil
}
