// Every setting: SETTING(name, type, unit, default, minimum, maximum, help). Included with different definitions
// of SETTING. The flag is --name, the environment variable AGATEPOST_NAME in capitals with '_' for '-'. Minimum
// and maximum bound numbers; for a secret, maximum is its number of hexadecimal digits, or 0 for any text. They are 0
// for other types. The unit of a choice lists its values, separated by '|'; those of plug-ins are registered instead.
SETTING("name", identifier, "", "host-1", 0, 0, "name of this host, unique in the fleet")
SETTING("zone", identifier, "", "zone-1", 0, 0, "availability zone of this host")
SETTING("data-address", endpoint, "", "127.0.0.1:6081", 0, 0, "UDP address for packets from the fabric and from other hosts")
SETTING("fabric-address", endpoint, "", "127.0.0.1:6080", 0, 0, "UDP address of the fabric, where packets for targets and clients go")
SETTING("peer-address", endpoint, "", "127.0.0.1:7081", 0, 0, "address for other hosts: UDP heartbeats and websocket links")
SETTING("admin-address", endpoint, "", "127.0.0.1:8081", 0, 0, "address for operators: metrics, status, explanations")
SETTING("peers", endpoints, "", "", 0, 0, "peer addresses of some other hosts, comma-separated, to join through")
SETTING("vni", number, "", "1", 0, 16777215, "Geneve virtual network identifier that packets must have")
SETTING("link", choice, "", "geneve", 0, 0, "link plug-in that carries packets")
SETTING("store", choice, "", "file", 0, 0, "store plug-in that holds the configuration")
SETTING("store-address", endpoints, "", "127.0.0.1:2379", 0, 0, "addresses of the store, comma-separated, for the etcd plug-in")
SETTING("config-file", text, "", "", 0, 0, "configuration document, for the file plug-in")
SETTING("placement", choice, "", "carried", 0, 0, "placement plug-in that chooses targets")
SETTING("workers", number, "threads", "1", 1, 64, "number of packet worker threads")
SETTING("stop-limit", number, "ms", "30000", 0, 86400000, "longest time a graceful stop goes on forwarding")
SETTING("key", secret, "", "", 0, 64, "shared key of hosts and operators; without it the admin port answers on loopback only")
SETTING("key-previous", secret, "", "", 0, 64, "second key that is accepted during a rotation, beside the one that signs")
SETTING("log-format", choice, "text|json", "text", 0, 0, "format of log lines")
