#include <LibCore/snapshot.h>

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace Trefoil
{

namespace
{

// The thread sanitizer does not see the barriers inside liburcu. These tell it what the library guarantees: the end of a
// read-side critical section happens before a grace period that waited for it ends.
#if defined(__SANITIZE_THREAD__)
char s_gracePeriod;

void annotateReadEnd()
{
    __tsan_release(&s_gracePeriod);
}

void annotateGracePeriodEnd()
{
    __tsan_acquire(&s_gracePeriod);
}
#else
void annotateReadEnd()
{
}

void annotateGracePeriodEnd()
{
}
#endif

} // namespace

SnapshotReaderThread::SnapshotReaderThread()
{
    urcu_memb_register_thread();
}

SnapshotReaderThread::~SnapshotReaderThread()
{
    urcu_memb_unregister_thread();
}

namespace Detail
{

SnapshotReadGuard::SnapshotReadGuard()
{
    urcu_memb_read_lock();
}

SnapshotReadGuard::~SnapshotReadGuard()
{
    annotateReadEnd();
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    urcu_memb_synchronize_rcu();
    annotateGracePeriodEnd();
}

} // namespace Detail

} // namespace Trefoil
