#include "http/HttpInputBuffer.h"

namespace filbertbeam {

namespace {

constexpr std::size_t kBlockBytes = 16 * 1024;

} // namespace

void
HttpInputBuffer::Clear()
{
  bytes_.clear();
  begin_ = 0;
}

bool
HttpInputBuffer::ReadFrom(QTcpSocket& aSocket)
{
  if (aSocket.bytesAvailable() == 0) {
    return false;
  }
  DropConsumed();
  const std::size_t size = bytes_.size();
  bytes_.resize(size + kBlockBytes);
  const qint64 count = aSocket.read(bytes_.data() + size, kBlockBytes);
  bytes_.resize(size + (count > 0 ? static_cast<std::size_t>(count) : 0));
  return count > 0;
}

void
HttpInputBuffer::ReadRestOf(QTcpSocket& aSocket)
{
  DropConsumed();
  const QByteArray rest = aSocket.readAll();
  bytes_.append(rest.constData(), static_cast<std::size_t>(rest.size()));
}

void
HttpInputBuffer::DropConsumed()
{
  bytes_.erase(0, begin_);
  begin_ = 0;
}

} // namespace filbertbeam
