#include "base/Digest.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

#include <xxhash.h>

namespace filbertbeam {

namespace {

QByteArray
Wrap(std::string_view aData)
{
  return QByteArray::fromRawData(aData.data(),
                                 static_cast<qsizetype>(aData.size()));
}

} // namespace

std::string
Sha256Hex(std::string_view aData)
{
  return QCryptographicHash::hash(Wrap(aData), QCryptographicHash::Sha256)
    .toHex()
    .toStdString();
}

std::string
HmacSha256(std::string_view aKey, std::string_view aData)
{
  return QMessageAuthenticationCode::hash(
           Wrap(aData), Wrap(aKey), QCryptographicHash::Sha256)
    .toStdString();
}

bool
ConstantTimeEquals(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^
                  static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

std::uint64_t
StableHash(std::string_view aData, std::uint64_t aSeed)
{
  return XXH64(aData.data(), aData.size(), aSeed);
}

} // namespace filbertbeam
