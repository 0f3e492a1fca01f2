// A pointer to immutable data that many threads read and few replace.
#ifndef PERSIMMONQUAY_BASE_RCU_POINTER_H
#define PERSIMMONQUAY_BASE_RCU_POINTER_H

#include <memory>
#include <mutex>
#include <urcu-bp.h>
#include <utility>

namespace persimmonquay {

/// Owns one immutable `T` that readers see whole: either the old value or the
/// new one, never a mixture. Readers take no lock; `replace()` waits until no
/// reader can still see the old value before deleting it.
///
/// Thread-safe. A reader must be short: it holds back every writer.
///
/// Example:
///   RcuPointer<Table> Current(std::make_unique<const Table>());
///   std::size_t Size = Current.read([](const Table &T) { return T.size(); });
template <typename T> class RcuPointer {
public:
  explicit RcuPointer(std::unique_ptr<const T> Initial)
      : Value(const_cast<T *>(Initial.release())) {}
  RcuPointer(const RcuPointer &) = delete;
  RcuPointer &operator=(const RcuPointer &) = delete;
  ~RcuPointer() { delete this->Value; }

  /// Publishes `Next` and deletes the value before it. Must not be called from
  /// inside `read()`.
  void replace(std::unique_ptr<const T> Next) {
    std::lock_guard<std::mutex> Lock(this->WriterMutex);
    const T *Old = this->Value;
    rcu_assign_pointer(this->Value, const_cast<T *>(Next.release()));
    urcu_bp_synchronize_rcu();
    delete Old;
  }

  /// Calls `Reader` with the current value and returns its result, which must
  /// not refer into the value.
  template <typename F> auto read(F &&Reader) const {
    ReadSection Section;
    return std::forward<F>(Reader)(
        *static_cast<const T *>(rcu_dereference(this->Value)));
  }

private:
  struct ReadSection {
    ReadSection() { urcu_bp_read_lock(); }
    ~ReadSection() { urcu_bp_read_unlock(); }
  };

  // Not const, because the library's macros cast it; never written through.
  T *Value;
  std::mutex WriterMutex;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_RCU_POINTER_H
