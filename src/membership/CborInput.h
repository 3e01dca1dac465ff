#pragma once

#include "http/HttpMessage.h"

#include <QByteArray>
#include <QCborStreamReader>

#include <cstdint>
#include <string>

namespace filbertbeam {

// Reads CBOR from an untrusted source within given bounds. After the first read
// that fails, every later one fails too, so a caller may check once at the end.
// Strings and arrays of indefinite length are refused, because their size is
// not known before they are read.
class CborInput
{
public:
  // Keeps a reference to aBytes, which have to outlive the object.
  explicit CborInput(ByteView aBytes);

  bool HasFailed() const { return hasFailed_; }
  // Returns true when everything was read without failure and no bytes are
  // left.
  bool IsComplete();

  // Returns the number of elements, at most aMaxElements, or 0 on failure.
  std::size_t EnterArray(std::size_t aMaxElements);
  void LeaveArray();

  std::uint64_t ReadUnsigned(std::uint64_t aMax);
  bool ReadBool();
  double ReadDouble();
  // Reads UTF-8 text of at most aMaxBytes.
  std::string ReadText(std::size_t aMaxBytes);
  std::string ReadBytes(std::size_t aMaxBytes);

private:
  void Fail() { hasFailed_ = true; }
  void CheckError();

  QByteArray data_;
  QCborStreamReader reader_;
  bool hasFailed_ = false;
};

} // namespace filbertbeam
