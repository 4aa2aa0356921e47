#include <LibCore/snapshot.h>

#include <urcu/urcu-memb.h>

namespace Trefoil {

SnapshotReaderThread::SnapshotReaderThread()
{
    urcu_memb_register_thread();
}

SnapshotReaderThread::~SnapshotReaderThread()
{
    urcu_memb_unregister_thread();
}

namespace Detail {

SnapshotReadGuard::SnapshotReadGuard()
{
    urcu_memb_read_lock();
}

SnapshotReadGuard::~SnapshotReadGuard()
{
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    urcu_memb_synchronize_rcu();
}

} // namespace Detail

} // namespace Trefoil
