package store

import (
	"encoding/json"

	"onyxwell/base/errkind"
)

// ApplyPatch makes a whole document from one in force and the changes to it. Items
// that are not changed keep their bytes.
func ApplyPatch(document []byte, change []byte) ([]byte, error) {
	var asked patch
	if err := json.Unmarshal(change, &asked); err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "not a change: %v", err)
	}
	whole := map[string]json.RawMessage{}
	if len(document) > 0 {
		if err := json.Unmarshal(document, &whole); err != nil {
			return nil, errkind.Errorf(errkind.Internal, "kept document: %v", err)
		}
	}
	for key, names := range asked.Remove {
		if err := editList(whole, key, nil, names); err != nil {
			return nil, err
		}
	}
	for key, value := range asked.Changes {
		var items []json.RawMessage
		if json.Unmarshal(value, &items) != nil {
			whole[key] = value
			continue
		}
		if err := editList(whole, key, items, nil); err != nil {
			return nil, err
		}
	}
	serial, _ := json.Marshal(asked.Version)
	whole["config_version"] = serial
	return json.Marshal(whole)
}

// editList replaces or adds items by their names and drops others.
func editList(whole map[string]json.RawMessage, key string, items []json.RawMessage, without []string) error {
	var kept []json.RawMessage
	if present := whole[key]; len(present) > 0 {
		if err := json.Unmarshal(present, &kept); err != nil {
			return errkind.Errorf(errkind.InvalidConfig, "%s: is no list", key)
		}
	}
	replaced := map[string]json.RawMessage{}
	dropped := map[string]bool{}
	var added []string
	for index, item := range items {
		name, err := itemName(item)
		if err != nil {
			return errkind.Errorf(errkind.InvalidConfig, "changes.%s[%d].name: missing", key, index)
		}
		if _, twice := replaced[name]; twice {
			return errkind.Errorf(errkind.InvalidConfig, "changes.%s[%d].name: %q stands twice", key, index, name)
		}
		replaced[name] = item
		added = append(added, name)
	}
	for _, name := range without {
		dropped[name] = true
	}
	result := []json.RawMessage{}
	for _, item := range kept {
		name, _ := itemName(item)
		if dropped[name] {
			continue
		}
		if fresh, found := replaced[name]; found {
			item = fresh
			delete(replaced, name)
		}
		result = append(result, item)
	}
	for _, name := range added {
		if item, left := replaced[name]; left {
			result = append(result, item)
		}
	}
	body, err := json.Marshal(result)
	whole[key] = body
	return err
}

func itemName(item json.RawMessage) (string, error) {
	var read namedItem
	if err := json.Unmarshal(item, &read); err != nil {
		return "", err
	}
	if read.Name == "" {
		return "", errkind.Errorf(errkind.InvalidConfig, "name: missing")
	}
	return read.Name, nil
}
