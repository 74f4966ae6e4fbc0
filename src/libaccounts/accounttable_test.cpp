// Tests of the table of accounts and of the reading of API keys.
#include "libaccounts/accounttable.h"
#include "libaccounts/bearertoken.h"

#include <gtest/gtest.h>
#include <malloc.h>

using namespace primroseworks;

namespace {

ClientAccount account(const std::string &Name) {
  ClientAccount A;
  A.m_name = Name;
  return A;
}

std::string nameOfKey(const AccountTable &Table, std::string_view Key) {
  const ClientAccount *A = Table.findByKey(Key);
  return A ? A->m_name : "";
}

} // namespace

// Guards against a key that gets another account than the first with it.
TEST(AccountTable, FirstAccountOfAKeyHasIt) {
  AccountTableBuilder B;
  ASSERT_TRUE(B.addAccount(account("a")));
  for (const char *Key : {"k1", "k2", "k1", ""})
    B.addKey(Key);
  ASSERT_TRUE(B.addAccount(account("b")));
  for (const char *Key : {"k2", "k3"})
    B.addKey(Key);
  const AccountTablePtr T = B.build();
  EXPECT_EQ(T->keyCount(), 3U);
  EXPECT_EQ(nameOfKey(*T, "k1"), "a");
  EXPECT_EQ(nameOfKey(*T, "k2"), "a");
  EXPECT_EQ(nameOfKey(*T, "k3"), "b");
  for (const char *Key : {"", "k", "k4", "K1"})
    EXPECT_EQ(T->findByKey(Key), nullptr) << Key;
  ASSERT_EQ(T->sharedKeys().size(), 1U);
  EXPECT_EQ(T->sharedKeys()[0].m_winner, 0U);
  EXPECT_EQ(T->sharedKeys()[0].m_loser, 1U);
  EXPECT_EQ(T->find("b")->m_name, "b");
  EXPECT_EQ(T->find("c"), nullptr);
}

// Guards against a table without keys that accepts or crashes on a key.
TEST(AccountTable, MayHaveNoKeys) {
  AccountTableBuilder B;
  B.addKey("without account");
  ASSERT_TRUE(B.addAccount(account("a")));
  const AccountTablePtr T = B.build();
  EXPECT_EQ(T->findByKey("without account"), nullptr);
  EXPECT_EQ(T->accounts().size(), 1U);
}

// Guards against a name that ends a header line, and against two accounts that
// cannot be told apart.
TEST(AccountTable, RejectsNamesThatAreNoHeaderValue) {
  for (const char *Name : {"", "a\r\nX: y", "a b", "\x7f"}) {
    AccountTableBuilder B;
    EXPECT_FALSE(B.addAccount(account(Name)));
  }
  AccountTableBuilder B;
  ASSERT_TRUE(B.addAccount(account("a")));
  const Result<void> Twice = B.addAccount(account("a"));
  ASSERT_FALSE(Twice);
  EXPECT_NE(Twice.error().m_message.find("'a' is listed twice"),
            std::string::npos);
}

// Guards against a table that outgrows a small VM: 100,000 keys in two versions
// must fit beside everything else. Prints the measured memory.
TEST(AccountTable, HundredThousandKeysFit) {
  constexpr std::size_t Accounts = 1000;
  constexpr std::size_t KeysPerAccount = 100;
  const auto Key = [](std::size_t Account, std::size_t I) {
    return "sk-0123456789abcdef0123456789-" + std::to_string(Account) + "-" +
           std::to_string(I);
  };
  const std::size_t Before = mallinfo2().uordblks + mallinfo2().hblkhd;
  AccountTableBuilder B;
  for (std::size_t A = 0; A < Accounts; ++A) {
    ASSERT_TRUE(B.addAccount(account("account-" + std::to_string(A))));
    for (std::size_t I = 0; I < KeysPerAccount; ++I)
      B.addKey(Key(A, I));
  }
  const AccountTablePtr T = B.build();
  const std::size_t Used = mallinfo2().uordblks + mallinfo2().hblkhd - Before;
  ASSERT_EQ(T->keyCount(), Accounts * KeysPerAccount);
  EXPECT_LT(Used, 5'000'000U);
  const auto Begin = std::chrono::steady_clock::now();
  for (std::size_t A = 0; A < Accounts; ++A)
    for (std::size_t I = 0; I < KeysPerAccount; ++I)
      ASSERT_EQ(T->findByKey(Key(A, I)), &T->accounts()[A]);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Begin;
  std::cout << "allocated " << Used << " B, counted " << T->memoryBytes()
            << " B, lookup " << Took.count() / (Accounts * KeysPerAccount)
            << " us\n";
}

// Guards against different keys with one hash, and a salt that changes while
// the process runs.
TEST(AccountTable, HashDependsOnTheKeyAlone) {
  EXPECT_EQ(hashKey("k"), hashKey("k"));
  EXPECT_NE(hashKey("k"), hashKey("l"));
}

TEST(BearerToken, ReadsOneKey) {
  const auto Read = [](const std::vector<std::string_view> &Values) {
    return std::string(readBearerToken(Values).value_or("(none)"));
  };
  EXPECT_EQ(Read({"Bearer k1"}), "k1");
  EXPECT_EQ(Read({"bearer k1"}), "k1");
  EXPECT_EQ(Read({" BEARER \t k1 \t"}), "k1");
  // Guards against a request whose key is another one for the endpoint.
  EXPECT_EQ(Read({"Bearer k1", "Bearer k1"}), "(none)");
  for (const char *Value :
       {"", "Bearer", "Bearer ", "Bearerk1", "Basic k1", "k1", "Token k1"})
    EXPECT_EQ(Read({Value}), "(none)") << Value;
  EXPECT_EQ(Read({}), "(none)");
}
