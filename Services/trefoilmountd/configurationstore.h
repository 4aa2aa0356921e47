#pragma once

#include <LibConfiguration/configuration.h>
#include <LibStore/objectclient.h>
#include <LibStore/tableclient.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Trefoil
{

/// The row configuration/head.
struct ConfigurationHead
{
    ConfigurationVersion version;
    std::string digest;
    std::string author;
    /// Id of the change that wrote the head; identifies the host's own commit after a lost response.
    std::string operation;
    /// Previous operations, newest first. Other changes may follow a change with a lost response before its author
    /// checks the head.
    std::vector<std::string> earlier{};
    RowVersion row = 0;

    /// True when the change with this id is part of the head's history. Precondition: none. Thread safety: safe for concurrent readers.
    bool includes(const std::string &id) const;
};

struct HeadCommitted
{
};
/// Another change was committed first; this one did not and will not take effect.
struct HeadConflict
{
    ConfigurationHead winner;
};

using HeadResult = std::variant<ConfigurationHead, Unavailable>;
using BodyResult = std::variant<std::shared_ptr<const Configuration>, Unavailable>;
/// Unavailable: the change did not and will not take effect. Ambiguous: it may.
using HeadCommitResult = std::variant<HeadCommitted, HeadConflict, Ambiguous, Unavailable>;

/// The committed configuration in the table service and the object store.
/// Thread safety: control thread only; several coroutines may call at once.
class ConfigurationStore
{
public:
    /// Precondition: both clients outlive the object.
    ConfigurationStore(TableClient &table, ObjectClient &objects);

    /// Reads the head; version 0 when there is none.
    HeadResult readHead(BootTime deadline, const boost::asio::yield_context &yield);

    /// Reads and checks the body that a head refers to. Precondition: the head's version is not 0.
    BodyResult readBody(const ConfigurationHead &head, BootTime deadline, const boost::asio::yield_context &yield);

    /// Writes the body, then moves the head from base to next. If the outcome stays unknown, the unchanged head is rewritten:
    /// after that the condition of the lost transaction can no longer hold, so the outcome is definite.
    /// Precondition: base was read from the store and next.version is higher.
    HeadCommitResult commit(
        ConfigurationHead base, ConfigurationHead next, const std::string &body, BootTime deadline, const boost::asio::yield_context &yield);

    /// Creates an id for a change, unique over all hosts and time.
    std::string newOperation();

private:
    HeadCommitResult fence(const ConfigurationHead &base, const std::string &operation, BootTime deadline, const boost::asio::yield_context &yield);

    TableClient &m_table;
    ObjectClient &m_objects;
};

/// Parses a document and checks its version and digest against those of a head or peer. Null when a check fails.
/// Precondition: none. Thread safety: safe from any thread.
std::shared_ptr<const Configuration> checkedConfiguration(const std::string &document, ConfigurationVersion version, const std::string &digest);

} // namespace Trefoil
