// The rig binary: stand-ins and load tool.

#include <iostream>

auto main() -> int {
    std::cerr << "usage: rig run|list|demo\n";
    return 2;
}
