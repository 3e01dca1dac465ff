#pragma once

namespace filbertbeam {

enum class RequestClass
{
  // Within the rate that the customer's contract promises.
  InContract,
  // Above the promise; served with spare capacity only.
  Excess,
};

} // namespace filbertbeam
