package cli

import (
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/peer"
)

func (t *tool) addCertificates(app *kingpin.Application) {
	group := app.Command("certificates", "Make the certificates with which the system's own processes and operators authenticate each other.")

	authority := group.Command("authority", "Make an authority that signs certificates. Keep its key off the instances.")
	authorityFolder := authority.Arg("folder", "Folder for authority.crt and authority.key.").Required().String()
	authority.Action(func(*kingpin.ParseContext) error { return peer.WriteAuthority(*authorityFolder) })

	for _, role := range []peer.Role{peer.RoleInstance, peer.RoleOperator} {
		c := group.Command(string(role), "Make the credentials of each named "+string(role)+", in a folder of its name.")
		from := c.Flag("authority", "Folder of the authority.").Required().String()
		into := c.Flag("into", "Folder in which a folder is made for each name.").Required().String()
		names := c.Arg("name", "Names.").Required().Strings()
		c.Action(func(*kingpin.ParseContext) error {
			for _, name := range *names {
				if err := peer.WriteCredentials(filepath.Join(*into, name), *from, name, role); err != nil {
					return err
				}
			}
			return nil
		})
	}

	hash := app.Command("hash-key", "Print the hash of an organisation's key, as it is written in the declarations.")
	key := hash.Arg("key", "The key.").Required().String()
	hash.Action(func(*kingpin.ParseContext) error {
		return t.print(map[string]string{"hash": declaration.HashKey(*key)}, func(w writer) { writeLine(w, "%s", declaration.HashKey(*key)) })
	})
}
