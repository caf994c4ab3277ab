package wal

func tempName(name string) string       { return name + ".new" }
func quarantineName(name string) string { return name + ".damaged" }

// ReplaceFile gives a file new content atomically: after a loss of power it has
// the old or the new, and the new one if err is nil.
func ReplaceFile(fs FS, name string, content []byte) error {
	file, _, err := replaceFile(fs, name, content)
	if err == nil {
		_ = file.Close()
	}
	return err
}

// replaceFile leaves the new file open. renamed means that the name may stand for
// the new file, even with an error. The folder is synced after each step: the
// temporary name is durable before it takes the old one's place.
func replaceFile(fs FS, name string, content []byte) (file File, renamed bool, err error) {
	temp := tempName(name)
	// The name might still stand for the very file that it once replaced.
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
