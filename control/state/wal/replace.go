package wal

func tempName(name string) string       { return name + ".new" }
func quarantineName(name string) string { return name + ".damaged" }

// ReplaceFile replaces the content of a file atomically. After a power loss the
// file has either the old or the new content; if ReplaceFile returned nil, it has
// the new one.
func ReplaceFile(fs FS, name string, content []byte) error {
	file, _, err := replaceFile(fs, name, content)
	if err == nil {
		_ = file.Close()
	}
	return err
}

// replaceFile implements ReplaceFile and returns the new file open. renamed means
// that the name may refer to the new file, even if there is an error. The
// directory is synced after each step, so that the temporary name is durable
// before it replaces the old one.
func replaceFile(fs FS, name string, content []byte) (file File, renamed bool, err error) {
	temp := tempName(name)
	// After a crash during an earlier rename, the temporary name may still refer
	// to the current file, which Create would truncate.
	if err = fs.Remove(temp); err != nil {
		return nil, false, err
	}
	if file, err = fs.Create(temp); err != nil {
		return nil, false, err
	}
	if err = writeAndSync(file, content); err == nil {
		err = fs.SyncDir()
	}
	if err == nil {
		renamed = true
		if err = fs.Rename(temp, name); err == nil {
			err = fs.SyncDir()
		}
	}
	if err != nil {
		_ = file.Close()
		if !renamed {
			_ = fs.Remove(temp)
		}
		return nil, renamed, err
	}
	return file, true, nil
}

func writeAndSync(file File, content []byte) error {
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}
