#include "membership/CborInput.h"

#include <QString>

namespace filbertbeam {

CborInput::CborInput(ByteView aBytes)
  : data_(QByteArray::fromRawData(aBytes.data(),
                                  static_cast<qsizetype>(aBytes.size())))
  , reader_(data_)
{
  CheckError();
}

void
CborInput::CheckError()
{
  if (reader_.lastError() != QCborError::NoError) {
    Fail();
  }
}

bool
CborInput::IsComplete()
{
  return !hasFailed_ && reader_.currentOffset() == data_.size();
}

std::size_t
CborInput::EnterArray(std::size_t aMaxElements)
{
  if (hasFailed_ || !reader_.isArray() || !reader_.isLengthKnown() ||
      reader_.length() > aMaxElements) {
    Fail();
    return 0;
  }
  const auto count = static_cast<std::size_t>(reader_.length());
  if (!reader_.enterContainer()) {
    Fail();
    return 0;
  }
  return count;
}

void
CborInput::LeaveArray()
{
  if (hasFailed_) {
    return;
  }
  if (reader_.hasNext() || !reader_.leaveContainer()) {
    Fail();
    return;
  }
}

std::uint64_t
CborInput::ReadUnsigned(std::uint64_t aMax)
{
  if (hasFailed_ || !reader_.isUnsignedInteger()) {
    Fail();
    return 0;
  }
  const std::uint64_t value = reader_.toUnsignedInteger();
  reader_.next();
  if (value > aMax) {
    Fail();
    return 0;
  }
  return value;
}

bool
CborInput::ReadBool()
{
  if (hasFailed_ || !reader_.isBool()) {
    Fail();
    return false;
  }
  const bool value = reader_.toBool();
  reader_.next();
  return value;
}

double
CborInput::ReadDouble()
{
  if (hasFailed_ || !reader_.isDouble()) {
    Fail();
    return 0;
  }
  const double value = reader_.toDouble();
  reader_.next();
  return value;
}

std::string
CborInput::ReadText(std::size_t aMaxBytes)
{
  if (hasFailed_ || !reader_.isString() || !reader_.isLengthKnown() ||
      reader_.length() > aMaxBytes) {
    Fail();
    return {};
  }
  const auto chunk = reader_.readString();
  if (chunk.status != QCborStreamReader::Ok) {
    Fail();
    return {};
  }
  // The first call returns the whole string as one chunk, the second one
  // reports its end.
  std::string text = chunk.data.toStdString();
  if (reader_.readString().status != QCborStreamReader::EndOfString) {
    Fail();
    return {};
  }
  return text;
}

std::string
CborInput::ReadBytes(std::size_t aMaxBytes)
{
  if (hasFailed_ || !reader_.isByteArray() || !reader_.isLengthKnown() ||
      reader_.length() > aMaxBytes) {
    Fail();
    return {};
  }
  const auto chunk = reader_.readByteArray();
  if (chunk.status != QCborStreamReader::Ok) {
    Fail();
    return {};
  }
  std::string bytes = chunk.data.toStdString();
  if (reader_.readByteArray().status != QCborStreamReader::EndOfString) {
    Fail();
    return {};
  }
  return bytes;
}

} // namespace filbertbeam
