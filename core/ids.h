#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace snipestream
{

/// A name of one kind of entity. Different tags make different types, so a team cannot be passed as a service.
template<typename Tag>
struct Name {
    std::string value;

    Name() = default;
    explicit Name(std::string text)
        : value(std::move(text))
    {
    }

    [[nodiscard]] auto empty() const -> bool
    {
        return value.empty();
    }
    friend auto operator==(const Name &a, const Name &b) -> bool
    {
        return a.value == b.value;
    }
    friend auto operator!=(const Name &a, const Name &b) -> bool
    {
        return a.value != b.value;
    }
    friend auto operator<(const Name &a, const Name &b) -> bool
    {
        return a.value < b.value;
    }
    friend auto operator<<(std::ostream &out, const Name &name) -> std::ostream &
    {
        return out << name.value;
    }
};

using TeamName = Name<struct TeamTag>;
using ServiceName = Name<struct ServiceTag>;
using DomainName = Name<struct DomainTag>;
using RouteName = Name<struct RouteTag>;
using NodeName = Name<struct NodeTag>;
using KeyId = Name<struct KeyTag>;
using TargetName = Name<struct TargetTag>;

/// Identifies one original request in all its hops; 128 random bits.
struct RequestId {
    uint64_t high = 0;
    uint64_t low = 0;

    friend auto operator==(const RequestId &a, const RequestId &b) -> bool
    {
        return a.high == b.high && a.low == b.low;
    }
    friend auto operator!=(const RequestId &a, const RequestId &b) -> bool
    {
        return !(a == b);
    }
    friend auto operator<(const RequestId &a, const RequestId &b) -> bool
    {
        return std::tie(a.high, a.low) < std::tie(b.high, b.low);
    }
};

/// Returns the id as 32 hexadecimal digits.
auto toHex(const RequestId &id) -> std::string;

/// An IP address and TCP port, such as 127.0.0.1:7000.
struct Endpoint {
    std::string address;
    uint16_t port = 0;

    friend auto operator==(const Endpoint &a, const Endpoint &b) -> bool
    {
        return a.address == b.address && a.port == b.port;
    }
    friend auto operator!=(const Endpoint &a, const Endpoint &b) -> bool
    {
        return !(a == b);
    }
    friend auto operator<(const Endpoint &a, const Endpoint &b) -> bool
    {
        return std::tie(a.address, a.port) < std::tie(b.address, b.port);
    }
};

/// Returns the endpoint as "address:port".
auto toString(const Endpoint &endpoint) -> std::string;

} // namespace snipestream

namespace std
{

template<typename Tag>
struct hash<snipestream::Name<Tag>> {
    auto operator()(const snipestream::Name<Tag> &name) const noexcept -> size_t
    {
        return hash<string>{}(name.value);
    }
};

template<>
struct hash<snipestream::RequestId> {
    auto operator()(const snipestream::RequestId &id) const noexcept -> size_t
    {
        return static_cast<size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
    }
};

template<>
struct hash<snipestream::Endpoint> {
    auto operator()(const snipestream::Endpoint &endpoint) const noexcept -> size_t
    {
        return hash<string>{}(endpoint.address) ^ (static_cast<size_t>(endpoint.port) * 0x9E3779B97F4A7C15ULL);
    }
};

} // namespace std
