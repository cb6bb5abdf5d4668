#pragma once

#include "mesh/peer_table.h"

#include <string>

namespace snipestream::testing
{

/// Adds a member whose reports the node subscribes to.
inline void addHome(PeerTable &table, const std::string &address, const std::string &domain, const ServiceName &service)
{
    addMember(table, {address, NodeName("node-" + address), DomainName(domain), service});
    table.homes[service].push_back(address);
}

} // namespace snipestream::testing
