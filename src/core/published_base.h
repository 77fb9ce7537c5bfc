// A value that one thread replaces and many read: readers get an immutable version by shared pointer.
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

    // Returns the newest version; it stays valid while the pointer is held.
    auto load() const -> std::shared_ptr<const T> { return std::atomic_load(&current_); }

    auto store(std::shared_ptr<const T> next) -> void { std::atomic_store(&current_, std::move(next)); }

private:
    std::shared_ptr<const T> current_;
};

}  // namespace agatepost
