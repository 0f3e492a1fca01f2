#include "persimmonquay/base/record_position.h"
#include "persimmonquay/fleet/record_cursor.h"
#include <algorithm>
#include <cstddef>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmonquay {
namespace {

/// The store: a log of keys and values that can go back to an older copy, and
/// an author who then writes the newest values again.
class ModelStore {
public:
  void write(char Key) {
    this->Newest[Key] = ++this->LastValue;
    this->Log.emplace_back(Key, this->LastValue);
  }

  /// Goes back to a copy without the last `Lost` records.
  void restore(std::size_t Lost) {
    this->Log.resize(this->Log.size() - std::min(Lost, this->Log.size()));
    ++this->Era;
  }

  /// Writes those of the newest values again that the log doesn't have.
  void rewrite() {
    const std::map<char, int> Kept = this->list();
    for (const auto &[Key, Value] : this->Newest)
      if (!Kept.contains(Key) || Kept.at(Key) != Value)
        this->Log.emplace_back(Key, Value);
  }

  std::map<char, int> list() const {
    std::map<char, int> Result;
    for (const auto &[Key, Value] : this->Log)
      Result[Key] = Value;
    return Result;
  }

  std::uint64_t Era = 1;
  std::vector<std::pair<char, int>> Log;
  std::map<char, int> Newest;

private:
  int LastValue = 0;
};

/// A reader that applies what its cursor lets it apply.
class ModelReader {
public:
  void poll(const ModelStore &Store) {
    const MonoTime Now{Millis(this->NowMs += 1000)};
    if (this->Cursor.mustList(Now)) {
      this->Cursor.recordList(Store.Era, Store.Log.size(), Now);
      for (const auto &[Key, Value] : Store.list())
        this->apply(Key, Value);
      return;
    }
    const std::uint64_t First = this->Cursor.nextOffset();
    if (First > Store.Log.size()) {
      this->Cursor.requireList();
      return;
    }
    if (!this->Cursor.recordRead(Store.Era, Store.Log.size()))
      return;
    for (std::size_t I = First; I < Store.Log.size(); ++I)
      this->apply(Store.Log[I].first, Store.Log[I].second);
  }

  std::map<char, int> Applied;

private:
  void apply(char Key, int Value) {
    this->Applied[Key] = std::max(this->Applied[Key], Value);
  }

  RecordCursor Cursor;
  std::int64_t NowMs = 0;
};

} // namespace

TEST_CASE("positions of records rise over eras and can be told apart") {
  CHECK(RecordPosition{0, 0}.number() == 1);
  CHECK(RecordPosition{0, 7}.number() < RecordPosition{0, 8}.number());
  CHECK(RecordPosition{1, 900}.number() < RecordPosition{2, 0}.number());
  const RecordPosition Position{5, 123456789};
  CHECK(RecordPosition::fromNumber(Position.number()) == Position);
}

// A reader that had read to offset 3 waited there although the store had come
// back from a copy and had given out offset 2 again.
TEST_CASE("records of another era are not taken for the next ones") {
  RecordCursor Cursor;
  CHECK(Cursor.mustList(MonoTime{}));
  Cursor.recordList(1, 3, MonoTime{});
  CHECK_FALSE(Cursor.mustList(MonoTime{}));
  CHECK(Cursor.recordRead(1, 5));
  CHECK(Cursor.nextOffset() == 5);
  CHECK_FALSE(Cursor.recordRead(2, 5));
  CHECK(Cursor.mustList(MonoTime{}));
  Cursor.recordList(2, 4, MonoTime{});
  CHECK(Cursor.nextOffset() == 4);
  CHECK(Cursor.era() == 2);
}

TEST_CASE("a response without an era doesn't change it") {
  RecordCursor Cursor;
  Cursor.recordList(4, 3, MonoTime{});
  CHECK(Cursor.recordRead(0, 4));
  CHECK(Cursor.recordRead(4, 5));
  CHECK(Cursor.era() == 4);
}

TEST_CASE("a list is made again once lost records have been rewritten") {
  RecordCursor Cursor;
  const MonoTime Start{Millis(1000)};
  Cursor.recordList(1, 3, Start);
  CHECK(Cursor.isSettled(Start));
  Cursor.recordRead(2, 3);
  Cursor.recordList(2, 3, Start);
  CHECK_FALSE(Cursor.isSettled(Start + RecordCursor::RewriteTime - Millis(1)));
  CHECK_FALSE(Cursor.mustList(Start + RecordCursor::RewriteTime - Millis(1)));
  const MonoTime End = Start + RecordCursor::RewriteTime;
  CHECK(Cursor.isSettled(End));
  CHECK(Cursor.mustList(End));
  Cursor.recordList(2, 4, End);
  CHECK_FALSE(Cursor.mustList(End));
}

// Every order of six events: writes of two keys, restores that lose one or two
// records, the author's rewriting, and polls of a reader that may have started
// before or after each of them.
TEST_CASE("a reader gets the newest records in every order of restores") {
  constexpr int Events = 6;
  constexpr int Kinds = 6;
  int Orders = 1;
  for (int I = 0; I < Events; ++I)
    Orders *= Kinds;
  int Restores = 0;
  for (int Order = 0; Order < Orders; ++Order) {
    ModelStore Store;
    ModelReader Reader;
    std::string Played;
    for (int I = 0, Rest = Order; I < Events; ++I, Rest /= Kinds) {
      Played.push_back("abxyrp"[Rest % Kinds]);
      switch (Played.back()) {
      case 'a':
      case 'b':
        Store.write(Played.back());
        break;
      case 'x':
      case 'y':
        Store.restore(Played.back() == 'x' ? 1 : 2);
        ++Restores;
        break;
      case 'r':
        Store.rewrite();
        break;
      default:
        Reader.poll(Store);
      }
    }
    Store.rewrite();
    // One poll may learn of the era, the next one lists.
    Reader.poll(Store);
    Reader.poll(Store);
    CAPTURE(Played);
    REQUIRE(Reader.Applied == Store.Newest);
  }
  CHECK(Restores > Orders);
}

} // namespace persimmonquay
