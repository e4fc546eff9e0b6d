package gate

import (
	"net/http"
	"strings"

	"agatewinch/internal/config"
	"agatewinch/internal/errkind"
)

const bearerPrefix = "Bearer "

// authenticate returns the key that the request carries, if it has the wanted role.
// Before the first configuration only the operators' keys of the settings are known;
// afterwards only those of the configuration in force.
func (g *Gate) authenticate(r *http.Request, role config.Role) (config.Key, error) {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return config.Key{}, errkind.New(errkind.Unauthenticated, "an Authorization header with a bearer key is needed")
	}
	keys := g.opts.OperatorKeys
	set := g.follow.Current().Set
	if set != nil {
		keys = set.Keys
	}
	key, ok := config.FindKey(keys, config.HashKey(text))
	switch {
	case !ok && set == nil && role == config.RoleCaller:
		return config.Key{}, errkind.New(errkind.NoConfiguration, "no configuration is in force on this host yet")
	case !ok && set == nil:
		return config.Key{}, errkind.New(errkind.Unauthenticated, "the key is not known; before the first configuration only those of the setting operator_keys are")
	case !ok:
		return config.Key{}, errkind.New(errkind.Unauthenticated, "the key is not known")
	case key.Role != role:
		return config.Key{}, errkind.New(errkind.Forbidden, "the key is for role %s", key.Role)
	}
	return key, nil
}

// OperatorKeys returns keys for the hashes that a gate's settings hold.
func OperatorKeys(hashes []string) []config.Key {
	var keys []config.Key
	for _, h := range hashes {
		keys = append(keys, config.Key{Name: "settings", Role: config.RoleOperator, SHA256: h})
	}
	return keys
}
