package main

import (
	"testing"

	"agatewinch/internal/docsync"
	"agatewinch/internal/settings"
)

func TestEverySettingIsDocumented(t *testing.T) {
	docsync.Mentions(t, "../../docs/operators/settings.md", settings.Names(schedulerSettings{}))
}
