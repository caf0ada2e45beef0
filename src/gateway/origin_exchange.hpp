/// Tells a few other entries which version began a stream, and asks them.
#pragma once

#include <list>
#include <set>
#include <string_view>

#include <gateway/entry_state.hpp>
#include <gateway/peer_exchange.hpp>

namespace agateseam
{

/// \brief Announces and looks up what began a stream, by datagrams.
///
/// A stream is announced to `stream_origins::holders` entries. The same ones are asked;
/// if none of them knows it, twice as many more, as entries may know of different others.
class origin_exchange
{
  public:
    origin_exchange(entry_state& entry, peer_exchange& entries);

  private:
    using endpoint = asio::ip::udp::endpoint;

    /// A search that waits for answers.
    struct lookup
    {
        explicit lookup(event_loop& loop)
            : answered(loop)
        {
        }

        name_key stream;
        std::set<endpoint> unanswered;
        wake_signal answered;
    };

    void announce(name_key stream, name_key version);
    task<std::optional<name_key>> find(name_key stream);
    /// Asks some entries, and once more those that don't answer.
    task<void> ask(lookup& search);
    /// \returns false for a datagram about something else.
    bool handle(std::string_view datagram, const endpoint& from);

    entry_state* state;
    peer_exchange* peers;
    std::list<lookup*> lookups;
};

} // namespace agateseam
