package gate

import (
	"net/http"
	"strings"

	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

const bearerPrefix = "Bearer "

// authenticate returns the key in the request's Authorization header if the key has the
// required role. Before the first configuration only the operator keys of the settings
// are valid, and afterwards only the keys of the configuration in force.
func (g *Gate) authenticate(r *http.Request, role config.Role) (config.Key, error) {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return config.Key{}, errkind.New(errkind.Unauthenticated, "the request needs an Authorization header with a bearer key")
	}
	keys := g.opts.OperatorKeys
	set := g.follower.Current().Set
	if set != nil {
		keys = set.Keys
	}
	key, ok := config.FindKey(keys, config.HashKey(text))
	switch {
	case !ok && set == nil && role == config.RoleCaller:
		return config.Key{}, errkind.New(errkind.NoConfiguration, "no configuration is in force on this host yet")
	case !ok && set == nil:
		return config.Key{}, errkind.New(errkind.Unauthenticated, "the key is unknown: before the first configuration only the keys of the setting operator_keys are valid")
	case !ok:
		return config.Key{}, errkind.New(errkind.Unauthenticated, "the key is unknown")
	case key.Role != role:
		return config.Key{}, errkind.New(errkind.Forbidden, "the key has role %s, which may not use this operation", key.Role)
	}
	return key, nil
}

// OperatorKeys returns operator keys for the key hashes in a gate's settings, which are in
// the form that config.HashKey returns.
func OperatorKeys(hashes []string) []config.Key {
	var keys []config.Key
	for _, h := range hashes {
		keys = append(keys, config.Key{Name: "settings", Role: config.RoleOperator, SHA256: h})
	}
	return keys
}
