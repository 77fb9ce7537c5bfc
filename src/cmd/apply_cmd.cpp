// agatepost apply FILE: writes the objects of a document to the store.

#include <iostream>

#include "cmd/command_base.h"
#include "cmd/operator_command_func.h"

namespace agatepost {

namespace {

auto apply(const operator_arguments& arguments) -> result<void> {
    if (arguments.words.size() != 1) {
        return make_error(error_kind::invalid_setting, "no document given",
                          "use: agatepost apply FILE [--dry-run] [--json]");
    }
    const auto text = read_text_file(arguments.words[0]);
    if (!text) {
        return tl::unexpected<error>(text.error());
    }
    const auto store = open_store(arguments);
    if (!store) {
        return tl::unexpected<error>(store.error());
    }
    const auto options = read_operator_options(arguments);
    if (!options) {
        return tl::unexpected<error>(options.error());
    }
    auto total = 0;
    auto applied = apply_document(*store, *text, *options, [&](const object_change& change) {
        ++total;
        print_change(arguments, change);
    });
    if (applied && !arguments.has("json")) {
        std::cout << total << (options->is_dry_run ? " objects would change\n" : " objects changed\n");
    }
    return applied;
}

auto run_apply(const std::vector<std::string>& arguments) -> int {
    const auto classified = classify_arguments(arguments);
    const auto applied = apply(classified);
    return applied ? exit_code::success
                   : print_failure(classified, applied.error(), render_command_line("apply", arguments));
}

constexpr command_plugin command = {"apply", "bring the store to the state of a document", run_apply};
const plugin_registration<command_plugin> registration(command);

}  // namespace

}  // namespace agatepost
