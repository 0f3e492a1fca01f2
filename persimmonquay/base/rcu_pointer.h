// A pointer to immutable data that is read often, by many threads, and replaced
// rarely.
#ifndef PERSIMMONQUAY_BASE_RCU_POINTER_H
#define PERSIMMONQUAY_BASE_RCU_POINTER_H

#include <memory>
#include <mutex>
#include <urcu-bp.h>
#include <utility>

namespace persimmonquay {

/// Owns one immutable `T`. A reader sees either the old value or the new one,
/// never a mixture, and takes no lock; `replace()` deletes the old value once
/// no reader can still see it (read-copy-update).
///
/// Thread-safe. The function passed to `read()` must be short: `replace()`
/// blocks until it has returned.
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

  /// Publishes `Next` and deletes the previous value. Must not be called from
  /// inside `read()`.
  void replace(std::unique_ptr<const T> Next) {
    std::lock_guard<std::mutex> Lock(this->WriterMutex);
    const T *Previous = this->Value;
    rcu_assign_pointer(this->Value, const_cast<T *>(Next.release()));
    urcu_bp_synchronize_rcu();
    delete Previous;
  }

  /// Calls `Reader` with the current value and returns its result, which must
  /// not refer to parts of the value.
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

  // Not const, because liburcu's macros cast it; the value is never modified.
  T *Value;
  std::mutex WriterMutex;
};

} // namespace persimmonquay

#endif // PERSIMMONQUAY_BASE_RCU_POINTER_H
