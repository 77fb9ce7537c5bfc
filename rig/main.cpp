// The rig binary: stand-ins and load tool.

#include <iostream>

#include "store_standin.h"

auto main(int argc, char** argv) -> int {
    if (argc > 1 && std::string(argv[1]) == "store") {
        return agatepost::run_store_command({argv + 2, argv + argc});
    }
    std::cerr << "usage: rig run|list|demo|store\n";
    return 2;
}
