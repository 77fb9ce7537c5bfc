// Helpers of tests that use the store: a running stand-in, clients of it, and waiting for a condition.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "core/clock_type.h"
#include "store/store_base.h"
#include "store_standin.h"

namespace agatepost {

// Waits until a condition holds. Returns false after 20 s, which is reached only by a fault.
inline auto eventually(const std::function<bool()>& holds) -> bool {
    const auto limit = now() + 20000;
    while (!holds()) {
        if (now() > limit) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

// A running stand-in with its address.
struct running_store {
    running_store() : address(*standin.start(*parse_endpoint("127.0.0.1:0"))) {}

    // Opens a client through the plug-in registry, as the program does.
    auto client(const std::vector<std::string>& flags = {}) const -> store_client {
        auto arguments = std::vector<std::string>{"--store-address=" + to_text(address)};
        arguments.insert(arguments.end(), flags.begin(), flags.end());
        return *plugin_registry<store_plugin>::instance().find("etcd")->open(*read_settings(arguments));
    }

    auto set(const std::function<void(store_faults&)>& change) -> void {
        auto faults = standin.faults();
        change(faults);
        standin.set_faults(faults);
    }

    store_standin standin;
    endpoint address;
};

}  // namespace agatepost
