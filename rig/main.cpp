// The rig binary: store stand-in and load tool.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "mix_func.h"
#include "report_func.h"
#include "scenario_base.h"
#include "store_standin.h"

namespace {

using namespace agatepost::rig;

constexpr int exit_usage = 2;

auto usage() -> int {
    std::cerr << "usage: rig list | rig store --listen=ADDRESS | rig demo [--flag=value ...] | rig run "
                 "--scenario=NAME [--flag=value ...]\n"
                 "'rig run --help' lists the flags\n";
    return exit_usage;
}

auto run_list() -> int {
    for (const auto& entry : scenarios()) {
        std::cout << "  " << entry.name << std::string(18 - entry.name.size(), ' ') << entry.summary
                  << (entry.needs_store ? " (store)" : "") << "\n";
    }
    return 0;
}

auto flags() -> cxxopts::Options {
    auto parser = cxxopts::Options("rig run", "runs a scenario and checks what its clients saw");
    auto add = parser.add_options();
    add("scenario", "name, see 'rig list'", cxxopts::value<std::string>()->default_value("steady"));
    add("seed", "of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("placement", "the hosts' placement: carried or hash",
        cxxopts::value<std::string>()->default_value("carried"));
    add("mix", "tracker or advisory", cxxopts::value<std::string>()->default_value("tracker"));
    add("binary", "the agatepost binary", cxxopts::value<std::string>()->default_value("build/agatepost"));
    add("duration", "seconds of the measured part", cxxopts::value<double>());
    add("feeds", "open feeds", cxxopts::value<int>());
    add("rate", "factor on the request rates", cxxopts::value<double>()->default_value("1"));
    add("work", "ms of work of a request, at the same share of busy slots", cxxopts::value<std::int64_t>());
    add("hosts", "hosts in each zone", cxxopts::value<int>()->default_value("5"));
    add("list-lag", "ms until the fabric's list notices a host's end",
        cxxopts::value<std::int64_t>()->default_value("500"));
    add("client-latency", "ms one way between clients and hosts",
        cxxopts::value<std::int64_t>()->default_value("3"));
    add("store", "file or etcd; the default is what the scenario needs",
        cxxopts::value<std::string>()->default_value(""));
    add("loss", "share of packets that the fabric loses", cxxopts::value<double>()->default_value("0"));
    add("reorder", "share of packets that the fabric delays", cxxopts::value<double>()->default_value("0"));
    add("duplicate", "share of TCP packets that the fabric doubles",
        cxxopts::value<double>()->default_value("0"));
    add("keep-logs", "keeps the hosts' logs of a run without failures");
    add("json", "prints only the JSON line");
    add("help", "prints this text");
    return parser;
}

auto options_of(const cxxopts::ParseResult& parsed) -> run_options {
    auto options = run_options{};
    options.plan = find_scenario(parsed["scenario"].as<std::string>());
    options.workload = find_mix(parsed["mix"].as<std::string>());
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.placement = parsed["placement"].as<std::string>();
    options.binary = parsed["binary"].as<std::string>();
    if (parsed.count("duration") != 0) {
        options.duration_s = parsed["duration"].as<double>();
    }
    if (parsed.count("feeds") != 0) {
        options.feeds = parsed["feeds"].as<int>();
    }
    if (parsed.count("work") != 0) {
        options.work_ms = parsed["work"].as<std::int64_t>();
    }
    options.rate = parsed["rate"].as<double>();
    options.hosts = parsed["hosts"].as<int>();
    options.list_lag_ms = parsed["list-lag"].as<std::int64_t>();
    options.client_latency_ms = parsed["client-latency"].as<std::int64_t>();
    const auto store = parsed["store"].as<std::string>();
    options.has_store =
        store.empty() ? options.plan != nullptr && options.plan->needs_store : store == "etcd";
    options.faults.loss = parsed["loss"].as<double>();
    options.faults.reorder = parsed["reorder"].as<double>();
    options.faults.duplicate = parsed["duplicate"].as<double>();
    options.is_json_only = parsed.count("json") != 0;
    options.keeps_logs = parsed.count("keep-logs") != 0;
    return options;
}

// Runs a scenario and prints its report. Returns 1 if the checker found a fault or the run failed.
auto run_scenario(const run_options& options) -> int {
    auto run = rig_run(options);
    const auto done = run.run();
    if (!done) {
        std::cerr << to_text(done.error()) << "\n";
        return 1;
    }
    if (!options.is_json_only) {
        print_table(options, *done, std::cout);
    }
    std::cout << report_json(options, *done).dump() << std::endl;
    return done->found.has_faults() || !done->failures.empty() ? 1 : 0;
}

auto run_command(int argc, char** argv, bool is_demo) -> int {
    auto parser = flags();
    const auto parsed = parser.parse(argc, argv);
    if (parsed.count("help") != 0) {
        std::cout << parser.help();
        return 0;
    }
    if (!parsed.unmatched().empty()) {
        return usage();
    }
    auto options = options_of(parsed);
    if (is_demo) {
        options.plan = find_scenario("demo");
    }
    if (options.plan == nullptr || options.workload == nullptr) {
        std::cerr
            << "unknown scenario or mix; 'rig list' lists the scenarios, mixes are tracker and advisory\n";
        return exit_usage;
    }
    return run_scenario(options);
}

}  // namespace

auto main(int argc, char** argv) -> int {
    const auto command = std::string(argc > 1 ? argv[1] : "");
    std::signal(SIGINT, [](int) { request_interrupt(); });
    std::signal(SIGTERM, [](int) { request_interrupt(); });
    try {
        if (command == "store") {
            return agatepost::run_store_command({argv + 2, argv + argc});
        }
        if (command == "list") {
            return run_list();
        }
        if (command == "store") {
            return agatepost::run_store_command({argv + 2, argv + argc});
        }
        if (command == "run" || command == "demo") {
            return run_command(argc - 1, argv + 1, command == "demo");
        }
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << "\n";
    }
    return usage();
}
