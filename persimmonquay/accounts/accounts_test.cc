#include "persimmonquay/accounts/account_table.h"
#include "persimmonquay/accounts/caller_access.h"
#include "persimmonquay/accounts/caller_key.h"
#include <cmath>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace persimmonquay {
namespace {

constexpr std::uint64_t Seed = 17;

proto::MeshConfiguration sampleConfiguration() {
  proto::MeshConfiguration Result;
  proto::ClientAccount *Account = Result.add_accounts();
  Account->set_name("river-desk");
  Account->add_keys("key-a");
  Account->add_keys("key-b");
  Account = Result.add_accounts();
  Account->set_name("hotel");
  Account->add_keys("key-c");
  return Result;
}

CallerKey readOne(std::string_view Value) { return readCallerKey({&Value, 1}); }

CallerAccess decide(const CallerKey &Key, bool HasPublicAccess = false,
                    UpstreamActivity Upstream = UpstreamActivity::Idle) {
  const proto::MeshConfiguration Configuration = sampleConfiguration();
  CallerAccess Result = decideCallerAccess(AccountTable(Configuration, Seed),
                                           Key, HasPublicAccess, Upstream);
  return Result;
}

TEST_CASE("each key is found with its account, and no other") {
  const proto::MeshConfiguration Configuration = sampleConfiguration();
  const AccountTable Table(Configuration, Seed);
  CHECK(Table.requiresKeys());
  CHECK(Table.find("key-a")->name() == "river-desk");
  CHECK(Table.find("key-b")->name() == "river-desk");
  CHECK(Table.find("key-c")->name() == "hotel");
  for (const char *Other : {"", "key-", "key-d", "key-aa", "KEY-A"})
    CHECK(Table.find(Other) == nullptr);
  CHECK(Table.findByName("hotel") == &Configuration.accounts(1));
  CHECK(Table.findByName("key-a") == nullptr);
  CHECK_FALSE(AccountTable(proto::MeshConfiguration(), Seed).requiresKeys());
}

TEST_CASE("a key is read from one Authorization header of scheme Bearer") {
  for (const char *Value : {"Bearer key-a", "bearer key-a", "BEARER   key-a "})
    CHECK(readOne(Value).Text == "key-a");
  CHECK(readCallerKey({}).Presented == CallerKey::Kind::Missing);
  const std::string LongestKey(MaxCallerKeyBytes, 'k');
  CHECK(readOne("Bearer " + LongestKey).Text == LongestKey);
  for (const std::string &Value :
       {std::string(), std::string("Bearer"), std::string("Bearer "),
        std::string("Basic key-a"), std::string("Bearerkey-a"),
        std::string("key-a"), std::string("Bearer key-a key-b"),
        std::string("Bearer key\0a", 12), std::string("Bearer k\xc3\xa9y"),
        "Bearer " + LongestKey + "k"}) {
    CAPTURE(Value);
    CHECK(readOne(Value).Presented == CallerKey::Kind::Unreadable);
    CHECK(readOne(Value).Text.empty());
  }
  const std::string_view Doubled[] = {"Bearer key-a", "Bearer key-a"};
  CHECK(readCallerKey(Doubled).Presented == CallerKey::Kind::Unreadable);
}

TEST_CASE("a call needs a key of an account unless its route is public") {
  using Verdict = CallerAccess::Verdict;
  const CallerAccess Known = decide(readOne("Bearer key-c"));
  CHECK(Known.Decision == Verdict::Admitted);
  CHECK(Known.Account != nullptr);
  CHECK(decide(readOne("Bearer other")).Decision == Verdict::UnknownKey);
  CHECK(decide(readOne("Basic key-a")).Decision == Verdict::NoKey);
  CHECK(decide({}).Decision == Verdict::NoKey);
  const CallerAccess Public = decide(readOne("Bearer other"), true);
  CHECK(Public.Decision == Verdict::Admitted);
  CHECK(Public.Account == nullptr);
  CHECK(decide(readOne("Bearer key-c"), true).Account != nullptr);
  CHECK(decideCallerAccess(AccountTable(proto::MeshConfiguration(), Seed),
                           readOne("Bearer other"), false,
                           UpstreamActivity::Idle)
            .Decision == Verdict::Admitted);
}

TEST_CASE("a call without a key may be one of the upstream on this host") {
  using Verdict = CallerAccess::Verdict;
  const CallerAccess Nested = decide({}, false, UpstreamActivity::MayBeRunning);
  CHECK(Nested.Decision == Verdict::AdmittedAsNested);
  CHECK(Nested.Account == nullptr);
  CHECK(decide({}, false, UpstreamActivity::Unknown).Decision ==
        Verdict::Undecided);
  // A wrong key is refused, whatever the upstream does.
  CHECK(decide(readOne("Bearer other"), false, UpstreamActivity::MayBeRunning)
            .Decision == Verdict::UnknownKey);
  CHECK(decide(readOne("key-a"), false, UpstreamActivity::MayBeRunning)
            .Decision == Verdict::NoKey);
}

TEST_CASE("accounts that are ambiguous or out of bounds are refused") {
  CHECK(checkAccounts(sampleConfiguration()).ok());
  proto::MeshConfiguration Bad = sampleConfiguration();
  proto::ClientAccount &Hotel = *Bad.mutable_accounts(1);
  std::string Expected = "account \"hotel\": ";
  SUBCASE("a key in two accounts") {
    Hotel.add_keys("key-a");
    Expected = "accounts \"river-desk\" and \"hotel\" have a key in common";
  }
  SUBCASE("a name twice") {
    Hotel.set_name("river-desk");
    Expected = "account \"river-desk\" is defined more than once";
  }
  SUBCASE("no name") {
    Hotel.set_name("");
    Expected = "the name of an account";
  }
  SUBCASE("a name that would break a header") {
    Hotel.set_name("a\r\nb");
    Expected = "the name of an account";
  }
  SUBCASE("an empty key") { Hotel.add_keys(""); }
  SUBCASE("a key that no header can carry") { Hotel.add_keys("key-a b"); }
  SUBCASE("an overlong key") {
    Hotel.add_keys(std::string(MaxCallerKeyBytes + 1, 'k'));
  }
  SUBCASE("thousands of keys") {
    for (int I = 0; I < 5000; ++I)
      Hotel.add_keys("key-a" + std::to_string(I));
  }
  SUBCASE("too many keys in all accounts together") {
    for (int I = 0; I < 60; ++I) {
      proto::ClientAccount *Added = Bad.add_accounts();
      Added->set_name("account-" + std::to_string(I));
      for (int J = 0; J < 1000; ++J)
        Added->add_keys(Added->name() + "-" + std::to_string(J));
    }
    Expected = "the accounts have more than";
  }
  SUBCASE("a negative rate") { Hotel.set_rate_per_s(-1); }
  SUBCASE("a rate that is not a number") { Hotel.set_rate_per_s(NAN); }
  SUBCASE("an infinite burst") { Hotel.set_burst(INFINITY); }
  SUBCASE("an absurdly large rate") { Hotel.set_rate_per_s(1e30); }
  const absl::Status Status = checkAccounts(Bad);
  CHECK(Status.code() == absl::StatusCode::kInvalidArgument);
  CHECK(Status.message().substr(0, Expected.size()) == Expected);
  CHECK(Status.message().find("key-a") == std::string_view::npos);
}

TEST_CASE("an account without keys and a key named twice are allowed") {
  proto::MeshConfiguration Configuration = sampleConfiguration();
  Configuration.mutable_accounts(0)->clear_keys();
  Configuration.mutable_accounts(1)->add_keys("key-c");
  CHECK(checkAccounts(Configuration).ok());
  const AccountTable Table(Configuration, Seed);
  CHECK(Table.find("key-a") == nullptr);
  CHECK(Table.find("key-c")->name() == "hotel");
}

} // namespace
} // namespace persimmonquay
