#include "persimmonquay/base/record_position.h"
#include "persimmonquay/fleet/evacuation_table.h"
#include <algorithm>
#include <doctest/doctest.h>

namespace persimmonquay {
namespace {

proto::Evacuation copyOf(const std::string &DataCentre, std::uint64_t Number,
                         bool IsActive) {
  proto::Evacuation Result;
  Result.set_data_centre(DataCentre);
  Result.set_number(Number);
  Result.set_active(IsActive);
  return Result;
}

TEST_CASE("the newest copy counts in whatever order copies arrive") {
  std::vector<proto::Evacuation> Copies = {
      copyOf("east", 3, true), copyOf("east", 7, false),
      copyOf("east", 9, true), copyOf("west", 4, true),
      copyOf("west", 8, false)};
  const auto ByNumber = [](const proto::Evacuation &Left,
                           const proto::Evacuation &Right) {
    return Left.number() < Right.number();
  };
  std::sort(Copies.begin(), Copies.end(), ByNumber);
  do {
    EvacuationTable Table;
    for (const proto::Evacuation &Copy : Copies)
      Table.merge(Copy);
    CHECK(Table.isEvacuated("east"));
    CHECK_FALSE(Table.isEvacuated("west"));
    CHECK_FALSE(Table.isEvacuated("north"));
  } while (std::next_permutation(Copies.begin(), Copies.end(), ByNumber));
}

TEST_CASE("a withdrawal that overtakes its order is final") {
  EvacuationTable Table;
  CHECK(Table.merge(copyOf("east", 5, false)));
  CHECK_FALSE(Table.merge(copyOf("east", 3, true)));
  CHECK_FALSE(Table.isEvacuated("east"));
  CHECK_FALSE(Table.merge(copyOf("east", 5, false)));
  CHECK(Table.all().size() == 1);
}

TEST_CASE("a complete list ends the evacuations that it lacks") {
  EvacuationTable Table;
  Table.merge(copyOf("east", 3, true));
  Table.merge(copyOf("west", 4, true));
  Table.merge(copyOf("north", 12, true));
  const std::vector<proto::Evacuation> Ended =
      Table.endedBy({copyOf("west", 4, true)}, 10, /*IsSettled=*/true);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].data_centre() == "east");
  CHECK(Table.merge(Ended[0]));
  CHECK_FALSE(Table.isEvacuated("east"));
  CHECK(Table.isEvacuated("west"));
  // Ordered after the list was read.
  CHECK(Table.isEvacuated("north"));
  // Ordered again.
  CHECK(Table.merge(copyOf("east", 11, true)));
  CHECK(Table.isEvacuated("east"));
}

// A store that comes back from an older copy has lost the record.
TEST_CASE("a list of another era ends an evacuation only once it is settled") {
  EvacuationTable Table;
  Table.merge(copyOf("east", RecordPosition{1, 9}.number(), true));
  const std::uint64_t ListNumber = RecordPosition{2, 5}.number();
  CHECK(Table.endedBy({}, ListNumber, /*IsSettled=*/false).empty());
  const std::vector<proto::Evacuation> Ended =
      Table.endedBy({}, ListNumber, /*IsSettled=*/true);
  REQUIRE(Ended.size() == 1);
  // Ordered again at an offset below that of the first order.
  CHECK(Table.merge(copyOf("east", RecordPosition{2, 3}.number(), true)));
  CHECK(Table.isEvacuated("east"));
  CHECK(Table.merge(Ended[0]));
  CHECK(Table.merge(copyOf("east", RecordPosition{2, 6}.number(), true)));
  // In the era of the list, a missing record has been removed.
  CHECK(Table.endedBy({}, RecordPosition{2, 8}.number(), false).size() == 1);
}

TEST_CASE("a table knows what a message lacks") {
  EvacuationTable Table;
  Table.merge(copyOf("east", 3, true));
  google::protobuf::RepeatedPtrField<proto::Evacuation> Message;
  CHECK(Table.hasNewerThan(Message));
  *Message.Add() = copyOf("east", 2, false);
  CHECK(Table.hasNewerThan(Message));
  *Message.Add() = copyOf("east", 3, true);
  CHECK_FALSE(Table.hasNewerThan(Message));
}

} // namespace
} // namespace persimmonquay
