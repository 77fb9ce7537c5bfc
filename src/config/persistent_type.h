// Copy-on-write containers: copies share unchanged parts, so that replacing a whole snapshot is cheap.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace agatepost {

// Iterates over a container by position.
template <typename Container, typename T>
class position_iterator {
public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = T;
    using difference_type = std::ptrdiff_t;
    using pointer = const T*;
    using reference = const T&;

    position_iterator(const Container* owner, std::size_t position) : owner_(owner), position_(position) {}

    auto operator*() const -> const T& { return (*owner_)[position_]; }
    auto operator->() const -> const T* { return &(*owner_)[position_]; }
    auto operator++() -> position_iterator& {
        ++position_;
        return *this;
    }
    friend auto operator==(const position_iterator& a, const position_iterator& b) -> bool {
        return a.position_ == b.position_;
    }
    friend auto operator!=(const position_iterator& a, const position_iterator& b) -> bool {
        return !(a == b);
    }

private:
    const Container* owner_;
    std::size_t position_;
};

// A list of immutable objects that may be shared with other lists.
template <typename T>
class shared_list {
public:
    using const_iterator = position_iterator<shared_list, T>;
    using item = std::shared_ptr<const T>;

    shared_list() = default;
    shared_list(std::initializer_list<T> values) {
        for (const auto& value : values) {
            push_back(value);
        }
    }

    auto size() const -> std::size_t { return items_.size(); }
    auto empty() const -> bool { return items_.empty(); }
    auto operator[](std::size_t position) const -> const T& { return *items_[position]; }
    auto begin() const -> const_iterator { return {this, 0}; }
    auto end() const -> const_iterator { return {this, items_.size()}; }

    auto push_back(T value) -> void { items_.push_back(std::make_shared<const T>(std::move(value))); }

    // Replaces an element; other lists keep the previous object.
    auto replace(std::size_t position, T value) -> void {
        items_[position] = std::make_shared<const T>(std::move(value));
    }

    // Returns the pointers to the elements, for modification.
    auto items() -> std::vector<item>& { return items_; }

private:
    std::vector<item> items_;
};

// A vector stored in chunks. The copy that freeze() returns shares all chunks; a later write to the original
// copies only the affected chunk. Frozen copies are read-only and may be read from any thread.
template <typename T>
class chunked_vector {
public:
    using const_iterator = position_iterator<chunked_vector, T>;

    auto size() const -> std::size_t { return size_; }
    auto empty() const -> bool { return size_ == 0; }
    auto operator[](std::size_t position) const -> const T& {
        return chunks_[position / chunk_size]->items[position % chunk_size];
    }
    auto back() const -> const T& { return (*this)[size_ - 1]; }
    auto begin() const -> const_iterator { return {this, 0}; }
    auto end() const -> const_iterator { return {this, size_}; }

    auto push_back(T value) -> void {
        if (size_ % chunk_size == 0) {
            chunks_.push_back(std::make_shared<chunk>(chunk{epoch_, {}}));
        }
        writable(size_).items.push_back(std::move(value));
        ++size_;
    }

    // Returns an element for modification.
    auto edit(std::size_t position) -> T& { return writable(position).items[position % chunk_size]; }

    auto pop_back() -> void {
        --size_;
        writable(size_).items.pop_back();
        if (size_ % chunk_size == 0) {
            chunks_.pop_back();
        }
    }

    // Returns a read-only copy; later writes to this object do not affect the copy.
    auto freeze() -> chunked_vector {
        auto copy = *this;
        ++epoch_;
        return copy;
    }

private:
    // A write may copy a whole chunk and a freeze copies one pointer per chunk. At 31,000
    // elements, chunks of 16 keep both in the microseconds.
    static constexpr std::size_t chunk_size = 16;

    struct chunk {
        std::uint64_t epoch;  // of the container at creation; modified in place while equal
        std::vector<T> items;
    };

    auto writable(std::size_t position) -> chunk& {
        auto& found = chunks_[position / chunk_size];
        if (found->epoch != epoch_) {
            found = std::make_shared<chunk>(chunk{epoch_, found->items});
        }
        return *found;
    }

    std::vector<std::shared_ptr<chunk>> chunks_;
    std::size_t size_ = 0;
    std::uint64_t epoch_ = 0;
};

// A hash map stored in shards, copied on write like chunked_vector.
template <typename Key, typename Value>
class sharded_map {
public:
    using map_type = absl::flat_hash_map<Key, Value>;
    using value_type = typename map_type::value_type;

    // Returns the entry of a key, or end() if there is none.
    auto find(const Key& key) const -> const value_type* {
        const auto hash = absl::Hash<Key>{}(key);
        const auto& found = shards_[shard_of(hash)];
        if (found == nullptr) {
            return nullptr;
        }
        const auto at = found->entries.find(key, hash);
        return at == found->entries.end() ? nullptr : &*at;
    }
    auto end() const -> const value_type* { return nullptr; }
    auto size() const -> std::size_t { return size_; }

    // Adds an entry; returns false if the key exists already.
    auto emplace(const Key& key, const Value& value) -> bool {
        const auto is_new = writable(key).emplace(key, value).second;
        size_ += is_new ? 1U : 0U;
        return is_new;
    }

    auto erase(const Key& key) -> void { size_ -= writable(key).erase(key); }

    // Returns a read-only copy; later writes to this object do not affect the copy.
    auto freeze() -> sharded_map {
        auto copy = *this;
        ++epoch_;
        return copy;
    }

private:
    static constexpr std::size_t shard_bits = 10;

    struct shard {
        std::uint64_t epoch;
        map_type entries;
    };

    // The map inside a shard uses the low bits of the hash, so the high bits select the shard.
    static auto shard_of(std::size_t hash) -> std::size_t { return hash >> (64U - shard_bits); }

    auto writable(const Key& key) -> map_type& {
        auto& found = shards_[shard_of(absl::Hash<Key>{}(key))];
        if (found == nullptr) {
            found = std::make_shared<shard>(shard{epoch_, {}});
        } else if (found->epoch != epoch_) {
            found = std::make_shared<shard>(shard{epoch_, found->entries});
        }
        return found->entries;
    }

    std::array<std::shared_ptr<shard>, 1U << shard_bits> shards_;
    std::size_t size_ = 0;
    std::uint64_t epoch_ = 0;
};

}  // namespace agatepost
