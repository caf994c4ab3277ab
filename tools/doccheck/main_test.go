package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestCheck_namesWhatIsGone(t *testing.T) {
	root := t.TempDir()
	files := map[string]string{
		"control/lease/lease.go": "package lease\n\ntype Holder struct{ Epoch int }\n\nfunc (h *Holder) Renew() {}\n\nfunc TestRenew() {}\n\nconst Span = 1\n",
		"docs/page.md": "`control/lease` and `control/gone`, `lease.Holder.Renew()`, `lease.Holder.Epoch`, `lease.Span`,\n" +
			"`lease.Keeper`, `lease.Holder.Revoke`, `other.Name`, [here](page.md#part), `TestRenew`, `TestRevoke`, [there](gone.md), [out](https://example.org/x)\n\n" +
			"```\n`control/fenced`\n```\n",
		"docs/past.md": "`control/gone`, `lease.Keeper`, [there](gone.md)\n",
	}
	for name, text := range files {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := check(root, []string{"docs/past.md"}, []string{"docs/page.md", "docs/past.md"})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"docs/page.md: links to gone.md, which is not there",
		"docs/page.md: names control/gone, which is not there",
		"docs/page.md: names lease.Keeper, but package lease has no Keeper",
		"docs/page.md: names lease.Holder.Revoke, but lease.Holder has no Revoke",
		"docs/page.md: names TestRevoke, but there is no such test",
		"docs/past.md: links to gone.md, which is not there",
	}
	if !slices.Equal(got, want) {
		t.Errorf("found %q, not %q", got, want)
	}
}
