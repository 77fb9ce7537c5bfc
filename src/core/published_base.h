// A value that one thread replaces and many threads read. Readers get an immutable version as a shared
// pointer.
#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace agatepost {

template <typename T>
class published {
public:
    published() : current_(std::make_shared<const T>()) {}
    explicit published(std::shared_ptr<const T> initial) : current_(std::move(initial)) {}

    // Returns the current version, which stays valid while the pointer is held.
    auto load() const -> std::shared_ptr<const T> { return std::atomic_load(&current_); }

    auto store(std::shared_ptr<const T> next) -> void { std::atomic_store(&current_, std::move(next)); }

private:
    std::shared_ptr<const T> current_;
};

}  // namespace agatepost
